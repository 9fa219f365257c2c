package org.ragwortmoor.coordination.control;

import java.util.List;

/**
 * The heartbeat report of a proxy to the control processes.
 *
 * @param proxy identifier of the proxy
 * @param incarnation random number that changes with each start of the proxy
 * @param failureDomain failure domain in which the proxy runs
 * @param sequence number of the report, ascending within an incarnation
 * @param rulesVersion newest rule version that the proxy applies
 * @param preparedVersion newest pending rule version whose scopes the proxy already blocks; 0 if
 *     none
 * @param stopping whether the proxy is stopping
 * @param sentAt time at which the report was sent, in nanoseconds of the proxy's clock; the answer
 *     returns it, and the proxy counts leases from it
 * @param endpoints observations of all endpoints or, if the report has a base, only those that
 *     changed after the base
 * @param acknowledged newest update that the proxy applied; the report that it answered is the base
 *     of this report
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

    /** Returns whether the report contains all observations and needs no base. */
    boolean complete() {
        return acknowledged.sequence() == 0;
    }

    /** Returns a copy of this report with the given observations and base. */
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
     * <p>The connections by which a share was lowered are available to other proxies once the proxy
     * acknowledged the lower share. Without the acknowledgement the leader waits for the end of the
     * lease.
     *
     * @param leaderTerm leader term of the update; 0 in reports for control processes that do not
     *     lead
     * @param sequence {@code reportSequence} of the update; 0 in a complete report, which
     *     acknowledges no share
     * @param groupsRevision {@code groupsRevision} of the update
     */
    public record Acknowledged(long leaderTerm, long sequence, long groupsRevision) {
        /** Acknowledges nothing: no update was applied since the proxy started. */
        public static final Acknowledged NONE = new Acknowledged(0, 0, 0);
    }

    /**
     * The observation of one endpoint by a proxy.
     *
     * @param group group of the endpoint
     * @param endpoint identifier of the endpoint
     * @param silentMillis time since the endpoint's last answer of any kind, in milliseconds, or
     *     since the first attempt if there was no answer yet. Sent as 0 below the threshold of the
     *     failure detector and as the threshold otherwise, see {@link ReportDeltaEncoder}
     * @param connections number of connections that the proxy holds
     * @param wanted number of connections that the proxy could use now
     * @param longRunning number of long statements that the proxy runs
     * @param longWanted number of long statements that are queued in the proxy
     * @param promisedTerm promised term that the endpoint last stated
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
