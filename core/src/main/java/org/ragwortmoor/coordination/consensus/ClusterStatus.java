package org.ragwortmoor.coordination.consensus;

import io.vavr.control.Option;
import java.util.Map;
import org.ragwortmoor.state.log.Configuration;
import org.ragwortmoor.state.log.MemberId;

/**
 * The group as seen by one node.
 *
 * @param now time of the status, in nanoseconds of the node's clock
 * @param leaderReady whether the node leads with a valid lease and a committed entry of its term
 * @param self this node
 * @param configuration newest configuration in the log
 * @param configurationCommitted whether that configuration is committed
 * @param commitIndex last committed index that this node knows
 * @param progress what the leader knows of each other member; empty on other nodes
 * @param strangers nodes that asked for votes with an incarnation outside the configuration
 */
public record ClusterStatus(
        long now,
        boolean leaderReady,
        MemberId self,
        Configuration configuration,
        boolean configurationCommitted,
        long commitIndex,
        Map<MemberId, MemberProgress> progress,
        Map<String, MemberId> strangers) {
    /** Copies the maps. */
    public ClusterStatus {
        progress = Map.copyOf(progress);
        strangers = Map.copyOf(strangers);
    }

    /**
     * Replication to one member.
     *
     * @param matchIndex last index that the member has synced
     * @param contactAt time at which the newest answered message was sent, if any was answered
     */
    public record MemberProgress(long matchIndex, Option<Long> contactAt) {}
}
