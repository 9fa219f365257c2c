package org.ragwortmoor.coordination.quota;

import java.util.List;

/**
 * The leader's answer to a report, sent once a majority has confirmed the leader after the arrival
 * of the report. It renews the lease on the tokens of the proxy.
 *
 * @param reportId number of the report
 * @param routesRevision revision of the routes whose limits the grants observe
 */
public record QuotaAnswer(long epoch, long reportId, long routesRevision, List<QuotaGrant> grants) {
    /** Copies the list. */
    public QuotaAnswer {
        grants = List.copyOf(grants);
    }
}
