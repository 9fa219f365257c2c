package org.ragwortmoor.coordination.session;

/**
 * Observation of a group's primary by this proxy.
 *
 * @param silentNanos time since the oldest unanswered request; 0 if the primary answers
 * @param refused whether the primary denies leadership or refuses connections
 * @param holdsLease whether this proxy holds a lease on the primary
 * @param needsLease whether this proxy requests a lease on the primary
 */
public record PrimaryObservation(
        String group,
        String server,
        long silentNanos,
        boolean refused,
        boolean holdsLease,
        boolean needsLease) {}
