package org.ragwortmoor.coordination.directory;

import java.util.HashMap;
import java.util.Map;

/**
 * What the proxies report about the primary of one group.
 *
 * <p>The primary counts as lost when more than half of the proxies with fresh reports have had no
 * answer from it, and at least half of all proxies report. One proxy behind a cut proves nothing,
 * and a primary that most proxies reach goes on serving them, also when the control process hears
 * only from the few on its own side of a cut.
 */
final class PrimaryEvidence {
    private final Map<String, Report> reports = new HashMap<>();

    private record Report(String server, long silent, boolean refused, long at) {}

    void reported(String proxy, String server, long silent, boolean refused, long now) {
        reports.put(proxy, new Report(server, silent, refused, now));
    }

    /**
     * Returns why the group counts as without a leader, or an empty text if it does not. A proxy
     * that works with another leader than the directory names counts as served.
     *
     * @param proxies number of all proxies
     */
    String loss(int proxies, long now) {
        int fresh = 0;
        int lost = 0;
        for (Report report : reports.values()) {
            if (now - report.at() > FailoverSettings.REPORT_LIFE) {
                continue;
            }
            fresh++;
            // Between reports only what was already overdue grows older.
            boolean overdue = report.silent() >= FailoverSettings.OVERDUE;
            long silent = report.silent() + (now - report.at());
            long limit = report.refused() ? FailoverSettings.REFUSED : FailoverSettings.SILENT;
            if (overdue && silent >= limit) {
                lost++;
            }
        }
        boolean heard = fresh > 0 && fresh * 2 >= proxies;
        return heard && lost * 2 > fresh
                ? lost + " of " + fresh + " proxies have no answer from the primary"
                : "";
    }

    /** Returns whether most proxies work with a leader, whichever it is. */
    boolean served(int proxies, long now) {
        int served = 0;
        for (Report report : reports.values()) {
            boolean fresh = now - report.at() <= FailoverSettings.REPORT_LIFE;
            if (fresh && !report.refused() && report.silent() < FailoverSettings.OVERDUE) {
                served++;
            }
        }
        return served > 0 && served * 2 > proxies;
    }

    void clear() {
        reports.clear();
    }
}
