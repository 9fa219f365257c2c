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
 * The newest report of each proxy.
 *
 * <p>Late and duplicated reports are dropped by their sequence, and reports of an incarnation that
 * was replaced by its number. A report that has only changes is completed from its predecessors;
 * without its base nothing is known of the proxy's endpoints until its next complete report.
 */
final class ReportTable {
    /** Reports are sent every 250 ms; two may be missed before a proxy stops being a reporter. */
    static final long FRESH_NANOS = 600_000_000L;

    /**
     * Amount by which the smallest seen delay may rise with each report, so that drifting clocks do
     * not make every report look delayed: 0.1 ms in 250 ms is 400 ppm.
     */
    private static final long DRIFT_NANOS = 100_000L;

    private static final int REMEMBERED_INCARNATIONS = 4;

    private final Map<String, Reporter> reporters = new HashMap<>();
    private final Map<EndpointKey, Map<String, EndpointObservation>> observers = new HashMap<>();
    private long leaderTerm;

    /** What is known of a proxy. */
    static final class Reporter {
        private final Deque<Long> replaced = new ArrayDeque<>();
        private ProxyReport report;
        private long receivedAt;
        private long smallestDelay;
        private boolean timely;
        private boolean known;

        private Reporter(ProxyReport first, long now) {
            start(first, now);
        }

        /** Returns the newest report, completed if {@link #known} and else without endpoints. */
        ProxyReport report() {
            return report;
        }

        /** Returns whether the observations of the newest report are known. */
        boolean known() {
            return known;
        }

        long receivedAt() {
            return receivedAt;
        }

        /**
         * Returns whether the report says something about the last moments.
         *
         * <p>A proxy that was frozen reports old silence when it resumes, and a delayed report
         * speaks of the past. So a report counts if it is young, was not delayed, and followed its
         * predecessor in time.
         */
        boolean fresh(long now) {
            return timely && now - receivedAt < FRESH_NANOS;
        }

        private void start(ProxyReport first, long now) {
            report = first;
            receivedAt = now;
            smallestDelay = now - first.sentAt();
            timely = false;
        }

        private boolean accept(ProxyReport next, long now) {
            if (next.incarnation() != report.incarnation()) {
                if (replaced.contains(next.incarnation())) {
                    return false;
                }
                replaced.addLast(report.incarnation());
                if (replaced.size() > REMEMBERED_INCARNATIONS) {
                    replaced.removeFirst();
                }
                start(next, now);
                return true;
            }
            if (next.sequence() <= report.sequence()) {
                return false;
            }
            long delay = now - next.sentAt();
            smallestDelay = Math.min(delay, smallestDelay + DRIFT_NANOS);
            timely =
                    next.sentAt() - report.sentAt() < FRESH_NANOS
                            && delay - smallestDelay < FRESH_NANOS;
            report = next;
            receivedAt = now;
            return true;
        }
    }

    /** Takes reports whose base was answered in this term as changes from now on. */
    void becameLeader(long term) {
        leaderTerm = term;
    }

    /** Returns the number of fresh reporters whose observations are not known. */
    int unknown(long now) {
        int count = 0;
        for (Reporter reporter : reporters.values()) {
            count += !reporter.known && reporter.fresh(now) ? 1 : 0;
        }
        return count;
    }

    /** Records a report and returns whether it is newer than all before of its proxy. */
    boolean accept(ProxyReport received, long now) {
        Reporter reporter = reporters.get(received.proxy());
        boolean based = reporter != null && hasBase(reporter, received);
        ProxyReport report = based ? merge(reporter.report, received) : received;
        if (!received.complete() && !based) {
            report = received.with(List.of(), received.acknowledged());
        }
        ProxyReport before = report;
        if (reporter == null) {
            reporter = new Reporter(report, now);
            reporters.put(report.proxy(), reporter);
        } else {
            before = reporter.report;
            if (!reporter.accept(report, now)) {
                return false;
            }
        }
        reporter.known = based || received.complete();
        if (!sameEndpoints(before, report)) {
            for (EndpointObservation seen : before.endpoints()) {
                Map<String, EndpointObservation> of =
                        observers.get(new EndpointKey(seen.group(), seen.endpoint()));
                if (of != null) {
                    of.remove(report.proxy());
                }
            }
        }
        index(based ? received : report);
        return true;
    }

    /**
     * Returns whether this leader answered the base. What it knows is the base or newer, and the
     * received changes are all since the base.
     */
    private boolean hasBase(Reporter reporter, ProxyReport received) {
        return !received.complete()
                && reporter.known
                && received.incarnation() == reporter.report.incarnation()
                && received.acknowledged().leaderTerm() == leaderTerm
                && received.acknowledged().sequence() <= reporter.report.sequence();
    }

    private static ProxyReport merge(ProxyReport before, ProxyReport received) {
        if (received.endpoints().isEmpty()) {
            return received.with(before.endpoints(), received.acknowledged());
        }
        Map<EndpointKey, EndpointObservation> merged = new LinkedHashMap<>();
        before.endpoints().forEach(seen -> merged.put(seen.key(), seen));
        received.endpoints().forEach(seen -> merged.put(seen.key(), seen));
        return received.with(List.copyOf(merged.values()), received.acknowledged());
    }

    private static boolean sameEndpoints(ProxyReport before, ProxyReport next) {
        if (before.endpoints().size() != next.endpoints().size()) {
            return false;
        }
        for (int i = 0; i < next.endpoints().size(); i++) {
            EndpointObservation one = before.endpoints().get(i);
            EndpointObservation other = next.endpoints().get(i);
            if (!one.group().equals(other.group()) || !one.endpoint().equals(other.endpoint())) {
                return false;
            }
        }
        return true;
    }

    private void index(ProxyReport report) {
        for (EndpointObservation seen : report.endpoints()) {
            observers
                    .computeIfAbsent(
                            new EndpointKey(seen.group(), seen.endpoint()), k -> new HashMap<>())
                    .put(report.proxy(), seen);
        }
    }

    Option<Reporter> reporter(String proxy) {
        return Option.of(reporters.get(proxy));
    }

    Map<String, Reporter> reporters() {
        return reporters;
    }

    /** Returns the newest observations of an endpoint by proxy. */
    Map<String, EndpointObservation> observations(EndpointKey key) {
        return observers.getOrDefault(key, Map.of());
    }

    /** Forgets proxies whose last report is older than {@code age}. */
    void prune(long now, long age) {
        reporters
                .entrySet()
                .removeIf(
                        e -> {
                            if (now - e.getValue().receivedAt < age) {
                                return false;
                            }
                            observers.values().forEach(of -> of.remove(e.getKey()));
                            return true;
                        });
        observers.values().removeIf(Map::isEmpty);
    }
}
