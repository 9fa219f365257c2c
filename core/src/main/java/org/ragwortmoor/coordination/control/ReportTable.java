package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortmoor.coordination.control.ProxyReport.EndpointObservation;

/**
 * The latest report of each proxy.
 *
 * <p>Late and duplicate reports are dropped by their sequence, and reports of replaced incarnations
 * by their incarnation. A delta is merged into the report previous it. Without the base of a delta,
 * the observations of the proxy are unknown until its next complete report.
 */
final class ReportTable {
    /**
     * Reports are sent every 250 ms; a proxy stops being a reporter after two consecutive reports
     * were missed.
     */
    static final long FRESH_NANOS = 600_000_000L;

    /**
     * Increase of the minimum delay per report, so that clock drift does not make all reports look
     * delayed: 0.1 ms per 250 ms tolerates a drift of 400 ppm.
     */
    private static final long MAX_DRIFT_PER_REPORT_NANOS = 100_000L;

    private static final int MAX_REPLACED_INCARNATIONS = 4;

    private final Map<String, Reporter> reporters = new HashMap<>();
    private final Map<EndpointKey, Map<String, EndpointObservation>> observationsByEndpoint =
            new HashMap<>();
    private long leaderTerm;

    /** The state of a reporting proxy. */
    static final class Reporter {
        private final Deque<Long> replaced = new ArrayDeque<>();
        private ProxyReport report;
        private long receivedAt;
        private long minDelay;
        private boolean timely;
        private boolean hasObservations;

        private Reporter(ProxyReport first, long now) {
            start(first, now);
        }

        /**
         * Returns the latest report, with all observations if {@link #hasObservations} and
         * otherwise without any.
         */
        ProxyReport report() {
            return report;
        }

        /** Returns whether the observations of the latest report are known. */
        boolean hasObservations() {
            return hasObservations;
        }

        long receivedAt() {
            return receivedAt;
        }

        /**
         * Returns whether the latest report describes the current situation.
         *
         * <p>A proxy that resumes after a pause reports the silence of the pause, and a delayed
         * report describes the past. A report is therefore fresh only if it was received recently,
         * was not delayed, and was sent soon after its predecessor.
         */
        boolean fresh(long now) {
            return timely && now - receivedAt < FRESH_NANOS;
        }

        private void start(ProxyReport first, long now) {
            report = first;
            receivedAt = now;
            minDelay = now - first.sentAt();
            timely = false;
        }

        private boolean accept(ProxyReport next, long now) {
            if (next.incarnation() != report.incarnation()) {
                if (replaced.contains(next.incarnation())) {
                    return false;
                }
                replaced.addLast(report.incarnation());
                if (replaced.size() > MAX_REPLACED_INCARNATIONS) {
                    replaced.removeFirst();
                }
                start(next, now);
                return true;
            }
            if (next.sequence() <= report.sequence()) {
                return false;
            }
            long delay = now - next.sentAt();
            minDelay = Math.min(delay, minDelay + MAX_DRIFT_PER_REPORT_NANOS);
            timely =
                    next.sentAt() - report.sentAt() < FRESH_NANOS && delay - minDelay < FRESH_NANOS;
            report = next;
            receivedAt = now;
            return true;
        }
    }

    /**
     * Sets the term of this leader; only deltas whose base was answered in this term are accepted.
     */
    void becameLeader(long term) {
        leaderTerm = term;
    }

    /** Returns the number of fresh reporters whose observations are unknown. */
    int freshWithoutObservations(long now) {
        int count = 0;
        for (Reporter reporter : reporters.values()) {
            count += !reporter.hasObservations && reporter.fresh(now) ? 1 : 0;
        }
        return count;
    }

    /** Records a report and returns whether it is newer than all earlier reports of its proxy. */
    boolean accept(ProxyReport received, long now) {
        Reporter reporter = reporters.get(received.proxy());
        boolean hasBase = reporter != null && hasBase(reporter, received);
        ProxyReport report = hasBase ? merge(reporter.report, received) : received;
        if (!received.complete() && !hasBase) {
            report = received.with(List.of(), received.acknowledged());
        }
        ProxyReport previous = report;
        if (reporter == null) {
            reporter = new Reporter(report, now);
            reporters.put(report.proxy(), reporter);
        } else {
            previous = reporter.report;
            if (!reporter.accept(report, now)) {
                return false;
            }
        }
        reporter.hasObservations = hasBase || received.complete();
        if (!sameEndpoints(previous, report)) {
            for (EndpointObservation observation : previous.endpoints()) {
                Map<String, EndpointObservation> byProxy =
                        observationsByEndpoint.get(
                                new EndpointKey(observation.group(), observation.endpoint()));
                if (byProxy != null) {
                    byProxy.remove(report.proxy());
                }
            }
        }
        index(hasBase ? received : report);
        return true;
    }

    /**
     * Returns whether this leader answered the base of a delta. The stored report is then the base
     * or newer, and the delta contains all changes since the base.
     */
    private boolean hasBase(Reporter reporter, ProxyReport received) {
        return !received.complete()
                && reporter.hasObservations
                && received.incarnation() == reporter.report.incarnation()
                && received.acknowledged().leaderTerm() == leaderTerm
                && received.acknowledged().sequence() <= reporter.report.sequence();
    }

    private static ProxyReport merge(ProxyReport previous, ProxyReport received) {
        if (received.endpoints().isEmpty()) {
            return received.with(previous.endpoints(), received.acknowledged());
        }
        Map<EndpointKey, EndpointObservation> merged = new LinkedHashMap<>();
        previous.endpoints().forEach(observation -> merged.put(observation.key(), observation));
        received.endpoints().forEach(observation -> merged.put(observation.key(), observation));
        return received.with(List.copyOf(merged.values()), received.acknowledged());
    }

    private static boolean sameEndpoints(ProxyReport previous, ProxyReport next) {
        if (previous.endpoints().size() != next.endpoints().size()) {
            return false;
        }
        for (int i = 0; i < next.endpoints().size(); i++) {
            EndpointObservation one = previous.endpoints().get(i);
            EndpointObservation other = next.endpoints().get(i);
            if (!one.group().equals(other.group()) || !one.endpoint().equals(other.endpoint())) {
                return false;
            }
        }
        return true;
    }

    private void index(ProxyReport report) {
        for (EndpointObservation observation : report.endpoints()) {
            observationsByEndpoint
                    .computeIfAbsent(
                            new EndpointKey(observation.group(), observation.endpoint()),
                            k -> new HashMap<>())
                    .put(report.proxy(), observation);
        }
    }

    Option<Reporter> reporter(String proxy) {
        return Option.of(reporters.get(proxy));
    }

    Map<String, Reporter> reporters() {
        return reporters;
    }

    /** Returns the latest observations of an endpoint by proxy. */
    Map<String, EndpointObservation> observations(EndpointKey key) {
        return observationsByEndpoint.getOrDefault(key, Map.of());
    }

    /** Removes proxies whose latest report is older than {@code age}. */
    void prune(long now, long age) {
        reporters
                .entrySet()
                .removeIf(
                        e -> {
                            if (now - e.getValue().receivedAt < age) {
                                return false;
                            }
                            observationsByEndpoint
                                    .values()
                                    .forEach(byProxy -> byProxy.remove(e.getKey()));
                            return true;
                        });
        observationsByEndpoint.values().removeIf(Map::isEmpty);
    }
}
