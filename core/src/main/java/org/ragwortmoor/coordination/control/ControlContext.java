package org.ragwortmoor.coordination.control;

import java.util.Map;
import java.util.TreeMap;

/**
 * What the parts of the leader share.
 *
 * @param reports newest reports of the proxies
 * @param directory newest announcements of the endpoints
 * @param suspicion decides whether an endpoint has failed
 * @param out collects actions
 */
record ControlContext(
        ReportTable reports, EndpointDirectory directory, SuspicionRule suspicion, Outbox out) {
    /** Returns the number of proxies with fresh reports in each failure domain. */
    Map<String, Integer> reportersPerDomain(long now) {
        Map<String, Integer> counts = new TreeMap<>();
        reports.reporters()
                .values()
                .forEach(
                        r -> {
                            if (r.fresh(now)) {
                                counts.merge(r.report().failureDomain(), 1, Integer::sum);
                            }
                        });
        return counts;
    }
}
