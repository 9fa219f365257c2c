package org.ragwortmoor.coordination.directory;

import io.vavr.control.Option;
import org.ragwortmoor.coordination.placement.ConnectionPlan;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.directory.FleetSize;
import org.ragwortmoor.state.directory.GroupReplication;
import org.ragwortmoor.state.directory.Promotion;
import org.ragwortmoor.state.routes.GroupLimits;

/**
 * What a failover decides on at one moment.
 *
 * @param group name of the group
 * @param state the replicated directory
 * @param members the servers of the group with their standing
 * @param syncReplicas number of replicas that must receive a commit before it is acknowledged
 * @param observers number of proxies that use the primary
 * @param leases leases of the proxies on the primaries
 * @param failureDetector reports of the proxies on the primary
 * @param delayedServer server of an unanswered call that may still be carried out
 */
record FailoverView(
        String group,
        DirectoryState state,
        GroupMembers members,
        int syncReplicas,
        int observers,
        PrimaryLeaseTable leases,
        PrimaryFailureDetector failureDetector,
        Option<String> delayedServer) {
    /** Returns how many proxies use the primary of a group. */
    static int observers(DirectoryState state, GroupLimits limits) {
        FleetSize fleet = state.fleet();
        return ConnectionPlan.of(limits.maxConnections(), fleet.proxies(), fleet.domains())
                .observers(fleet.proxies(), fleet.domains());
    }

    /** Returns the newest order if it is not known whether the platform has carried it out. */
    Option<Promotion> unconfirmedOrder() {
        return state.promotions().get(group).filter(p -> !p.confirmed());
    }

    GroupReplication replication() {
        return state.replication(group);
    }

    boolean majorityReachesLeader(long now) {
        return failureDetector.majorityReachesLeader(observers, now);
    }

    /**
     * Returns whether only the server of an unanswered call may be promoted. A delayed call would
     * otherwise replace the server promoted since, and lose what that one has acknowledged.
     */
    boolean exclusiveCalls() {
        return leases.required() || syncReplicas > 0 || replication().suspended();
    }
}
