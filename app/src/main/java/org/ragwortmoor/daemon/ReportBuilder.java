package org.ragwortmoor.daemon;

import java.util.ArrayList;
import java.util.List;
import org.ragwortmoor.coordination.control.ProxyReport;
import org.ragwortmoor.coordination.engine.EngineDump;

/** Builds a proxy's reports to the control processes. Not safe for concurrent use. */
final class ReportBuilder {
    private final String proxy;
    private final long incarnation;
    private final String failureDomain;
    private long sequence;

    ReportBuilder(String proxy, long incarnation, String failureDomain) {
        this.proxy = proxy;
        this.incarnation = incarnation;
        this.failureDomain = failureDomain;
    }

    /** Returns the number that distinguishes this start of the proxy from earlier ones. */
    long incarnation() {
        return incarnation;
    }

    /**
     * Returns the next report.
     *
     * @param now time of sending in nanoseconds of the proxy's monotonic clock
     */
    ProxyReport next(
            Iterable<EngineDump> dumps,
            long appliedVersion,
            long preparedVersion,
            boolean stopping,
            ProxyReport.Acknowledged acknowledged,
            long now) {
        List<ProxyReport.EndpointObservation> observations = new ArrayList<>();
        for (EngineDump dump : dumps) {
            for (EngineDump.Endpoint endpoint : dump.endpoints()) {
                observations.add(
                        new ProxyReport.EndpointObservation(
                                dump.group(),
                                endpoint.endpoint(),
                                endpoint.silentMillis(),
                                endpoint.connections() + endpoint.opening(),
                                endpoint.wanted(),
                                endpoint.longRunning(),
                                endpoint.longWanted(),
                                endpoint.promisedTerm()));
            }
        }
        sequence++;
        return new ProxyReport(
                proxy,
                incarnation,
                failureDomain,
                sequence,
                appliedVersion,
                preparedVersion,
                stopping,
                now,
                observations,
                acknowledged);
    }
}
