package org.ragwortmoor.coordination.consensus;

import io.vavr.control.Option;
import java.util.Map;
import org.ragwortmoor.state.log.Configuration;
import org.ragwortmoor.state.log.MemberId;

/**
 * One node's view of the consensus group.
 *
 * @param now time at which the view was taken, in nanoseconds of the node's clock
 * @param leaderReady whether the node may serve as leader, see {@link ConsensusNode#leaderReady}
 * @param self this node
 * @param configuration newest configuration in the log
 * @param configurationCommitted whether that configuration is committed
 * @param commitIndex highest index that this node knows to be committed
 * @param progress replication progress of each other member; empty unless this node is leader
 * @param nonMembers identities by node id of recent vote requesters outside the configuration, such
 *     as a member that restarted with an empty disk
 */
public record ClusterStatus(
        long now,
        boolean leaderReady,
        MemberId self,
        Configuration configuration,
        boolean configurationCommitted,
        long commitIndex,
        Map<MemberId, MemberProgress> progress,
        Map<String, MemberId> nonMembers) {
    /** Makes defensive copies of the maps. */
    public ClusterStatus {
        progress = Map.copyOf(progress);
        nonMembers = Map.copyOf(nonMembers);
    }

    /**
     * Replication progress of one member.
     *
     * @param matchIndex highest index that the member is known to have synced
     * @param contactAt send time of the newest message that the member has answered, if any
     */
    public record MemberProgress(long matchIndex, Option<Long> contactAt) {}
}
