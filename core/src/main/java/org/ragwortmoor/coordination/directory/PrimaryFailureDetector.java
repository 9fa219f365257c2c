package org.ragwortmoor.coordination.directory;

import java.util.HashMap;
import java.util.Map;

/**
 * Detects the failure of one group's primary from the reports of the proxies.
 *
 * <p>The primary counts as failed when more than half of the proxies with fresh reports have lost
 * it, and at least half of the proxies that use it have reported. A single partitioned proxy is
 * therefore not sufficient evidence. A primary that most proxies reach stays in place, even if the
 * control process is partitioned together with the few proxies that have lost it.
 */
final class PrimaryFailureDetector {
    private final Map<String, Report> reports = new HashMap<>();

    private record Report(String server, long silentNanos, boolean refused, long receivedAt) {}

    void recordReport(String proxy, String server, long silentNanos, boolean refused, long now) {
        reports.put(proxy, new Report(server, silentNanos, refused, now));
    }

    /**
     * Returns why the primary counts as failed, or an empty string if it does not. A proxy that
     * uses a leader other than the one named by the directory does not count as having lost it.
     *
     * @param observers number of proxies that use the primary
     */
    String failureReason(int observers, long now) {
        int fresh = 0;
        int lost = 0;
        for (Report report : reports.values()) {
            if (now - report.receivedAt() > FailoverSettings.REPORT_MAX_AGE_NANOS) {
                continue;
            }
            fresh++;
            // Only silence that was already overdue is assumed to have continued since the report.
            boolean overdue = report.silentNanos() >= FailoverSettings.OVERDUE_NANOS;
            long silentNanos = report.silentNanos() + (now - report.receivedAt());
            long timeout =
                    report.refused()
                            ? FailoverSettings.REFUSED_TIMEOUT_NANOS
                            : FailoverSettings.SILENCE_TIMEOUT_NANOS;
            if (overdue && silentNanos >= timeout) {
                lost++;
            }
        }
        boolean enoughReports = fresh > 0 && fresh * 2 >= observers;
        return enoughReports && lost * 2 > fresh
                ? lost + " of " + fresh + " proxies have no answer from the primary"
                : "";
    }

    /**
     * Returns whether a majority of the proxies that use the primary reaches a leader, whichever
     * server it is.
     */
    boolean majorityReachesLeader(int observers, long now) {
        return majority(reports.values().stream().filter(r -> reaches(r, now)).count(), observers);
    }

    /**
     * Returns whether a majority of the proxies that use the primary reaches this server as one.
     */
    boolean majorityReaches(String server, int observers, long now) {
        long reaching =
                reports.values().stream()
                        .filter(r -> r.server().equals(server) && reaches(r, now))
                        .count();
        return majority(reaching, observers);
    }

    private static boolean reaches(Report report, long now) {
        boolean fresh = now - report.receivedAt() <= FailoverSettings.REPORT_MAX_AGE_NANOS;
        return fresh && !report.refused() && report.silentNanos() < FailoverSettings.OVERDUE_NANOS;
    }

    private static boolean majority(long reaching, int observers) {
        return reaching > 0 && reaching * 2 > observers;
    }

    void clear() {
        reports.clear();
    }
}
