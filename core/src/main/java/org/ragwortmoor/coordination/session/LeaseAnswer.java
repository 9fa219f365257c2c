package org.ragwortmoor.coordination.session;

import java.util.Map;

/**
 * The directory's answer to a report about leases.
 *
 * @param reportId number of the answered report
 * @param reportedAt time at which it was sent, in nanoseconds of the monotonic clock
 * @param clockOffsetMillis wall clock minus monotonic clock at that time
 * @param requested server on which the report requested a lease, by group
 * @param leaseNanos duration of the leases, counted from {@code reportedAt}
 */
public record LeaseAnswer(
        long reportId,
        long reportedAt,
        long clockOffsetMillis,
        Map<String, String> requested,
        long leaseNanos) {
    /** Copies the map. */
    public LeaseAnswer {
        requested = Map.copyOf(requested);
    }

    /** Returns this answer with another duration of the leases. */
    public LeaseAnswer withDuration(long nanos) {
        return new LeaseAnswer(reportId, reportedAt, clockOffsetMillis, requested, nanos);
    }
}
