package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.ragwortmoor.coordination.control.ProxyReport.EndpointObservation;

/**
 * The newest report of each proxy.
 *
 * <p>Late and duplicated reports are dropped by their sequence, and reports of an incarnation that
 * was replaced by its number.
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

    /** What is known of a proxy. */
    static final class Reporter {
        private final Deque<Long> replaced = new ArrayDeque<>();
        private ProxyReport report;
        private long receivedAt;
        private long smallestDelay;
        private boolean timely;

        private Reporter(ProxyReport first, long now) {
            start(first, now);
        }

        ProxyReport report() {
            return report;
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

    /** Records a report and returns whether it is newer than all before of its proxy. */
    boolean accept(ProxyReport report, long now) {
        Reporter known = reporters.get(report.proxy());
        if (known == null) {
            reporters.put(report.proxy(), new Reporter(report, now));
            index(report);
            return true;
        }
        ProxyReport before = known.report;
        if (!known.accept(report, now)) {
            return false;
        }
        if (!sameEndpoints(before, report)) {
            for (EndpointObservation seen : before.endpoints()) {
                Map<String, EndpointObservation> of =
                        observers.get(new EndpointKey(seen.group(), seen.endpoint()));
                if (of != null) {
                    of.remove(report.proxy());
                }
            }
        }
        index(report);
        return true;
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
