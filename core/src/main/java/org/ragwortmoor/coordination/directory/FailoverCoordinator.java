package org.ragwortmoor.coordination.directory;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.routes.GroupLimits;

/**
 * Decides on promotions while this process leads the control group.
 *
 * <p>A promotion order is committed to the replicated log before the platform is called, and its
 * log index serves as the fencing token. Tokens therefore increase with every order, also across
 * leader changes, and no two orders share one.
 */
public final class FailoverCoordinator {
    private final Map<String, GroupFailover> groups = new LinkedHashMap<>();
    private final PrimaryLeaseTable leases;
    private long electedAt;

    /**
     * Creates a coordinator.
     *
     * @param leases leases of the proxies on the primaries
     */
    public FailoverCoordinator(PrimaryLeaseTable leases) {
        this.leases = leases;
    }

    /** Discards the state of an earlier leadership; to be called when this process is elected. */
    public void reset(long now) {
        electedAt = now;
        leases.elected(now);
        groups.values().forEach(g -> g.reset(now));
    }

    /**
     * Records a proxy's observation of a primary.
     *
     * @param silentNanos time since the oldest unanswered request; 0 if the primary answers
     * @param refused whether the primary denies leadership or refuses connections
     */
    public void recordObservation(
            String proxy,
            String group,
            String server,
            long silentNanos,
            boolean refused,
            long now) {
        group(group).failureDetector().recordReport(proxy, server, silentNanos, refused, now);
    }

    /** Records the status of a surveyed server. */
    public void recordStatus(ServerRecord server, ServerStatus status, long now) {
        group(server.group()).recordStatus(server, status, now);
    }

    /** Records the last log position of a primary that has stepped down. */
    public void recordStepDown(String group, String server, Position position) {
        group(group).recordStepDown(server, position);
    }

    /** Handles the commit of a promotion order of this process; returns the platform call. */
    public List<FailoverAction> orderCommitted(String group, String server, long token, long now) {
        return group(group).orderCommitted(server, token, now);
    }

    /** Records the platform's answer to a promotion call; returns the actions that follow. */
    public List<FailoverAction> recordCallOutcome(
            String group, long token, CallOutcome outcome, long now) {
        return group(group).recordCallOutcome(token, outcome, now);
    }

    /** Advances the failover of every group and returns the actions that are due. */
    public List<FailoverAction> tick(DirectoryState state, long now) {
        List<FailoverAction> actions = new ArrayList<>();
        for (GroupLimits limits : state.routes().groups()) {
            actions.addAll(group(limits.name()).tick(state, limits, now));
        }
        return actions;
    }

    /** Returns one line per group, for the state dump. */
    public List<String> describe(long now) {
        return groups.values().stream().map(g -> g.describe(now)).toList();
    }

    private GroupFailover group(String name) {
        return groups.computeIfAbsent(
                name,
                n -> {
                    GroupFailover created = new GroupFailover(n, leases);
                    created.reset(electedAt);
                    return created;
                });
    }
}
