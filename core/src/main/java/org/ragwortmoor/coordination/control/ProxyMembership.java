package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.Map;
import org.ragwortmoor.coordination.control.GroupState.Member;
import org.ragwortmoor.coordination.control.ProxyReport.EndpointObservation;

/**
 * Decides which proxies are members.
 *
 * <p>A proxy joins with its first report. Until it is removed, its floors stay reserved and wider
 * rule scopes wait for it. Proxies that are stopped or permanently lost must therefore be removed.
 */
final class ProxyMembership {
    /** Silence after which a member is removed; longer than the restart or replacement of a VM. */
    static final long STALE_NANOS = 600_000_000_000L;

    /**
     * Time for which all connections must be attributed to reporting proxies before a silent member
     * is removed. Announcements are up to 500 ms older than reports, so an increasing share can
     * temporarily hide a connection of another proxy.
     */
    private static final long ATTRIBUTED_NANOS = 10_000_000_000L;

    private final ReportTable reports;
    private final EndpointDirectory directory;
    private long leaderSince;
    private long unattributedAt;

    ProxyMembership(ReportTable reports, EndpointDirectory directory) {
        this.reports = reports;
        this.directory = directory;
    }

    /** Starts to measure the silence of proxies from {@code now}. */
    void becameLeader(long now) {
        leaderSince = now;
        unattributedAt = now;
    }

    void reported(ProxyReport report, ControlState state, Outbox out, long now) {
        if (!report.stopping() && !state.members().containsKey(report.proxy())) {
            out.propose(
                    new ControlCommand.MemberProxyJoined(report.proxy(), report.failureDomain()),
                    now);
        }
    }

    /** Proposes the removal of stopped and stale members. */
    void step(ControlState state, Outbox out, long now) {
        if (state.members().keySet().exists(p -> silentNanos(p, now) >= STALE_NANOS)) {
            if (!allConnectionsAttributed(state, now)) {
                unattributedAt = now;
            }
        } else {
            unattributedAt = now;
        }
        for (MemberProxy member : state.members().values()) {
            removalReason(member.proxy(), state, now)
                    .forEach(
                            reason ->
                                    out.propose(
                                            new ControlCommand.MemberProxyRemoved(
                                                    member.proxy(), reason),
                                            now));
        }
    }

    private long silentNanos(String proxy, long now) {
        long lastReport =
                reports.reporter(proxy)
                        .map(ReportTable.Reporter::receivedAt)
                        .getOrElse(leaderSince);
        return now - Math.max(lastReport, leaderSince);
    }

    private Option<String> removalReason(String proxy, ControlState state, long now) {
        Option<ReportTable.Reporter> reporter = reports.reporter(proxy);
        long silent = silentNanos(proxy, now);
        boolean stopped =
                reporter.exists(
                        r ->
                                r.hasObservations()
                                        && r.report().stopping()
                                        && connections(r.report()) == 0);
        if (stopped && silent >= ShareAllocator.LEASE_NANOS) {
            return Option.of("stopped");
        }
        if (silent >= STALE_NANOS && now - unattributedAt >= ATTRIBUTED_NANOS) {
            return Option.of("no report for " + STALE_NANOS / 60_000_000_000L + " minutes");
        }
        return Option.none();
    }

    private static int connections(ProxyReport report) {
        return report.endpoints().stream().mapToInt(EndpointObservation::connections).sum();
    }

    /**
     * Returns whether reporting proxies hold all connections that the endpoints count. A proxy that
     * is partitioned only from the control processes still holds connections.
     */
    private boolean allConnectionsAttributed(ControlState state, long now) {
        for (GroupState group : state.groups().values()) {
            for (Member member : group.endpoints().values()) {
                EndpointKey key = new EndpointKey(group.group(), member.info().endpoint());
                int counted =
                        directory.alive(key, now).map(s -> s.status().connections()).getOrElse(0);
                if (counted > reportedConnections(key, now)) {
                    return false;
                }
            }
        }
        return true;
    }

    private int reportedConnections(EndpointKey key, long now) {
        int sum = 0;
        for (Map.Entry<String, EndpointObservation> entry : reports.observations(key).entrySet()) {
            boolean reporting =
                    reports.reporter(entry.getKey())
                            .exists(r -> now - r.receivedAt() < ShareAllocator.LEASE_NANOS);
            sum += reporting ? entry.getValue().connections() : 0;
        }
        return sum;
    }
}
