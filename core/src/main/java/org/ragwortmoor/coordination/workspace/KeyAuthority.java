package org.ragwortmoor.coordination.workspace;

import io.vavr.control.Option;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether the workspaces and keys that a proxy knows are recent enough to be acted on.
 *
 * <p>The leader of the directory confirms a report once a majority has answered it after the
 * report's arrival. Everything that was acknowledged before the proxy sent the report is then
 * contained in the revision that the confirmation names. A key that was removed later is refused in
 * time if the proxy uses what it knows for no longer than the limit after the report was sent.
 */
public final class KeyAuthority {
    /** Limit for the refusal of unknown keys where the deployment is not strict. */
    private static final long DEFAULT_LIMIT_MILLIS = 5_000;

    /** Fraction of the limit by which the clock of the proxy may run slow. */
    private static final double CLOCK_MARGIN = 0.02;

    /** Change of the clock offset from which the process counts as having been suspended. */
    private static final long SUSPENSION_THRESHOLD_MILLIS = 60;

    /** Reports whose confirmations are accepted; urgent ones are 150 ms apart. */
    private static final int MAX_UNCONFIRMED_REPORTS = 64;

    private final Map<Long, SentReport> unconfirmed =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, SentReport> eldest) {
                    return size() > MAX_UNCONFIRMED_REPORTS;
                }
            };
    private Option<SentReport> confirmed = Option.none();
    private long limitMillis;

    private record SentReport(long id, long sentAt, long clockOffsetMillis) {}

    /**
     * Sets the time within which a removed key must be refused.
     *
     * @param millis the time; 0 if the deployment is not strict, so that known keys stay valid
     *     until a configuration without them arrives
     */
    public void setLimit(long millis) {
        limitMillis = millis;
    }

    /**
     * Records a report before it is sent.
     *
     * @param id number of the report; increases
     * @param now monotonic clock, in nanoseconds
     * @param clockOffsetMillis wall clock minus monotonic clock
     */
    public void reportSent(long id, long now, long clockOffsetMillis) {
        unconfirmed.put(id, new SentReport(id, now, clockOffsetMillis));
    }

    /**
     * Records that the leader has confirmed a report. To be called once the revision that the
     * confirmation names has been applied. Reports that are unknown or older than the last
     * confirmed one are ignored.
     */
    public void reportConfirmed(long id) {
        SentReport report = unconfirmed.get(id);
        if (report != null) {
            confirmed = Option.some(report);
            unconfirmed.keySet().removeIf(other -> other <= id);
        }
    }

    /** Returns whether callers with known keys may be served. */
    public boolean permits(long now, long clockOffsetMillis) {
        return limitMillis == 0 || current(now, clockOffsetMillis);
    }

    /** Returns whether unknown keys may be refused for good. */
    public boolean current(long now, long clockOffsetMillis) {
        return confirmed.exists(report -> valid(report, now, clockOffsetMillis));
    }

    private boolean valid(SentReport report, long now, long clockOffsetMillis) {
        long limit = limitMillis == 0 ? DEFAULT_LIMIT_MILLIS : limitMillis;
        // A suspension below the threshold is not noticed, so the margin covers it.
        long margin = Math.max((long) (limit * CLOCK_MARGIN), SUSPENSION_THRESHOLD_MILLIS);
        boolean suspended =
                Math.abs(clockOffsetMillis - report.clockOffsetMillis())
                        >= SUSPENSION_THRESHOLD_MILLIS;
        return !suspended && now - report.sentAt() < TimeUnit.MILLISECONDS.toNanos(limit - margin);
    }
}
