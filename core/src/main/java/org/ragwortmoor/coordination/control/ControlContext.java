package org.ragwortmoor.coordination.control;

import java.util.Map;
import java.util.TreeMap;

/**
 * State and services shared by the components of the leader.
 *
 * @param reports latest report of each proxy
 * @param directory latest announcement of each endpoint
 * @param failureDetector decides whether an endpoint has failed
 * @param out collects the actions for the host
 */
record ControlContext(
        ReportTable reports,
        EndpointDirectory directory,
        FailureDetector failureDetector,
        Outbox out) {
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
