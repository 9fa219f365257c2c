package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.List;
import java.util.Map;
import org.ragwortmoor.state.GroupView;

/**
 * A dump of the state of a control process for diagnosis.
 *
 * @param leader whether the process is the leader
 * @param ready whether the process may answer requests
 * @param leaderTerm consensus term in which the process last became leader; 0 if never
 * @param revision revision of the replicated state
 * @param rulesVersion newest accepted rule version
 * @param rulesInForce newest rule version known to be in force on every proxy
 * @param notInForceOn proxies that may still apply rules older than the newest version
 * @param pendingVersion rule version whose wider scopes are still being prepared
 * @param waitingFor members that have not prepared the pending rule version
 * @param members member proxies
 * @param freshReporters proxies whose reports are recent enough for failure detection
 * @param shareGracePeriod whether shares are limited to the reported connections because the leader
 *     changed
 * @param groups state of each group
 * @param uncounted announced endpoints that are not counted as group members, with the reason
 */
public record ControlDump(
        boolean leader,
        boolean ready,
        long leaderTerm,
        long revision,
        long rulesVersion,
        long rulesInForce,
        List<String> notInForceOn,
        Option<Long> pendingVersion,
        List<String> waitingFor,
        List<MemberProxy> members,
        List<String> freshReporters,
        boolean shareGracePeriod,
        List<GroupDump> groups,
        Map<EndpointKey, String> uncounted) {
    /** Copies the collections. */
    public ControlDump {
        notInForceOn = List.copyOf(notInForceOn);
        waitingFor = List.copyOf(waitingFor);
        members = List.copyOf(members);
        freshReporters = List.copyOf(freshReporters);
        groups = List.copyOf(groups);
        uncounted = Map.copyOf(uncounted);
    }

    /**
     * The state of a group.
     *
     * @param view the group as proxies see it
     * @param begunTerm newest term in which a promotion was begun
     * @param reason why that promotion was begun
     * @param waiting what the group is waiting for; empty if nothing
     */
    public record GroupDump(GroupView view, long begunTerm, String reason, String waiting) {}
}
