package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.Map;
import org.ragwortmoor.coordination.control.GroupState.Member;
import org.ragwortmoor.coordination.control.ProxyReport.EndpointObservation;

/**
 * Decides which proxies are members.
 *
 * <p>A proxy joins by its report. Its floors stay reserved, and wider scopes wait for it, until it
 * is removed; so a proxy that was stopped or is gone for good must not stay a member for ever.
 */
final class ProxyMembership {
    /** Longer than a restart or replacement of a VM takes. */
    static final long STALE_NANOS = 600_000_000_000L;

    /**
     * Time for which all connections must be explained. Announcements are older than reports by up
     * to 500 ms, so that a rising share hides a foreign connection for a moment.
     */
    private static final long EXPLAINED_NANOS = 10_000_000_000L;

    private final ReportTable reports;
    private final EndpointDirectory directory;
    private long leaderSince;
    private long unexplainedAt;

    ProxyMembership(ReportTable reports, EndpointDirectory directory) {
        this.reports = reports;
        this.directory = directory;
    }

    /** Counts the silence of proxies that never reported here from now on. */
    void becameLeader(long now) {
        leaderSince = now;
        unexplainedAt = now;
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
        if (state.members().keySet().exists(p -> silence(p, now) >= STALE_NANOS)) {
            if (!explained(state, now)) {
                unexplainedAt = now;
            }
        } else {
            unexplainedAt = now;
        }
        for (MemberProxy member : state.members().values()) {
            reason(member.proxy(), state, now)
                    .forEach(
                            reason ->
                                    out.propose(
                                            new ControlCommand.MemberProxyRemoved(
                                                    member.proxy(), reason),
                                            now));
        }
    }

    private long silence(String proxy, long now) {
        long lastReport =
                reports.reporter(proxy)
                        .map(ReportTable.Reporter::receivedAt)
                        .getOrElse(leaderSince);
        return now - Math.max(lastReport, leaderSince);
    }

    private Option<String> reason(String proxy, ControlState state, long now) {
        Option<ReportTable.Reporter> reporter = reports.reporter(proxy);
        long silent = silence(proxy, now);
        boolean stopped =
                reporter.exists(
                        r -> r.known() && r.report().stopping() && connections(r.report()) == 0);
        if (stopped && silent >= ShareAllocator.LEASE_NANOS) {
            return Option.of("stopped");
        }
        if (silent >= STALE_NANOS && now - unexplainedAt >= EXPLAINED_NANOS) {
            return Option.of("no report for " + STALE_NANOS / 60_000_000_000L + " minutes");
        }
        return Option.none();
    }

    private static int connections(ProxyReport report) {
        return report.endpoints().stream().mapToInt(EndpointObservation::connections).sum();
    }

    /**
     * Returns whether reporting proxies hold all connections that the endpoints count; a proxy that
     * is cut off from control only still holds some.
     */
    private boolean explained(ControlState state, long now) {
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
        for (Map.Entry<String, EndpointObservation> seen : reports.observations(key).entrySet()) {
            boolean reporting =
                    reports.reporter(seen.getKey())
                            .exists(r -> now - r.receivedAt() < ShareAllocator.LEASE_NANOS);
            sum += reporting ? seen.getValue().connections() : 0;
        }
        return sum;
    }
}
