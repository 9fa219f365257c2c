package org.ragwortmoor.coordination.control;

import java.util.List;

/**
 * What a proxy reports to the control processes in each heartbeat.
 *
 * @param proxy identifier of the proxy
 * @param incarnation random number that changes with each start of the proxy
 * @param failureDomain failure domain in which the proxy runs
 * @param sequence number of the report, ascending within an incarnation
 * @param rulesVersion newest rule version that the proxy applies
 * @param preparedVersion newest pending rule version whose scopes the proxy holds back; 0 if none
 * @param stopping whether the proxy is stopping
 * @param sentAt time at which the proxy sent the report, in nanoseconds of the proxy's clock; the
 *     answer returns it, so that the proxy counts leases from there
 * @param endpoints what the proxy observed of each endpoint or, if the report has a base, only what
 *     changed after the base
 * @param acknowledged the newest update that the proxy applied; the report that it answered is the
 *     base of this one
 */
public record ProxyReport(
        String proxy,
        long incarnation,
        String failureDomain,
        long sequence,
        long rulesVersion,
        long preparedVersion,
        boolean stopping,
        long sentAt,
        List<EndpointObservation> endpoints,
        Acknowledged acknowledged) {
    /** Copies the list. */
    public ProxyReport {
        endpoints = List.copyOf(endpoints);
    }

    /** Creates a report that acknowledges no update. */
    public ProxyReport(
            String proxy,
            long incarnation,
            String failureDomain,
            long sequence,
            long rulesVersion,
            long preparedVersion,
            boolean stopping,
            long sentAt,
            List<EndpointObservation> endpoints) {
        this(
                proxy,
                incarnation,
                failureDomain,
                sequence,
                rulesVersion,
                preparedVersion,
                stopping,
                sentAt,
                endpoints,
                Acknowledged.NONE);
    }

    /** Returns whether the report has all observations and needs no base. */
    boolean complete() {
        return acknowledged.sequence() == 0;
    }

    /** Returns this report with other observations and another base. */
    ProxyReport with(List<EndpointObservation> observations, Acknowledged base) {
        return new ProxyReport(
                proxy,
                incarnation,
                failureDomain,
                sequence,
                rulesVersion,
                preparedVersion,
                stopping,
                sentAt,
                observations,
                base);
    }

    /**
     * The newest update that a proxy applied.
     *
     * <p>A share that was lowered is free for others as soon as the proxy acknowledged the lower
     * one; without the acknowledgement the leader waits for the end of the lease.
     *
     * @param leaderTerm leader term of the update; 0 in the short form for control processes that
     *     do not lead
     * @param sequence {@code reportSequence} of the update; 0 if the report is complete, which
     *     acknowledges no share
     * @param groupsRevision {@code groupsRevision} of the update
     */
    public record Acknowledged(long leaderTerm, long sequence, long groupsRevision) {
        /** No update was applied since the proxy started. */
        public static final Acknowledged NONE = new Acknowledged(0, 0, 0);
    }

    /**
     * What a proxy observed of one endpoint.
     *
     * @param group group of the endpoint
     * @param endpoint the endpoint
     * @param silentMillis time since the endpoint's last answer of any kind, in milliseconds; a
     *     proxy that never had one reports the time since it first tried. Sent as 0 below the limit
     *     of the failure detector and as the limit from there on, see {@link ReportChanges}
     * @param connections connections that the proxy holds
     * @param wanted connections that the proxy could use now
     * @param longRunning long statements that the proxy runs
     * @param longWanted long statements that wait in the proxy
     * @param promisedTerm promised term last seen
     */
    public record EndpointObservation(
            String group,
            String endpoint,
            long silentMillis,
            int connections,
            int wanted,
            int longRunning,
            int longWanted,
            long promisedTerm) {
        EndpointKey key() {
            return new EndpointKey(group, endpoint);
        }
    }
}
