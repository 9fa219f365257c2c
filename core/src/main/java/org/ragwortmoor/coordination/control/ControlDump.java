package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;
import java.util.List;
import java.util.Map;
import org.ragwortmoor.state.GroupView;

/**
 * The state of a control process for people who look for a cause.
 *
 * @param leader whether it is the leader
 * @param ready whether it may answer
 * @param leaderTerm consensus term in which it became the leader; 0 if it never did
 * @param revision revision of the replicated state
 * @param rulesVersion newest accepted rule version
 * @param rulesInForce newest version known to be in force everywhere
 * @param notInForceOn proxies that may work under older rules than the newest
 * @param pendingVersion version that waits for its scopes to be prepared
 * @param waitingFor members that have not prepared the pending version
 * @param members member proxies
 * @param freshReporters proxies whose reports count as evidence now
 * @param sharesHeld whether shares are limited to holdings after a change of the leader
 * @param groups groups
 * @param uncounted announced endpoints that do not count, with the reason
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
        boolean sharesHeld,
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
     * A group.
     *
     * @param view the group as proxies see it
     * @param begunTerm newest opened term
     * @param reason why it was opened
     * @param waiting what the group waits for; empty if nothing
     */
    public record GroupDump(GroupView view, long begunTerm, String reason, String waiting) {}
}
