package org.ragwortmoor.coordination.consensus;

import io.vavr.control.Option;
import java.util.List;
import org.ragwortmoor.state.log.Configuration;
import org.ragwortmoor.state.log.Member;
import org.ragwortmoor.state.log.MemberId;

/**
 * Computes the steps that replace a member whose disk was lost: add the new incarnation as a
 * learner, wait until it has caught up, remove the old incarnation, promote the learner.
 *
 * <p>Every step is derived from the replicated configuration, so a repair can be resumed on the
 * same or on another leader. It is done only when the new voter has answered a message that was
 * sent after the start of the repair, and holds all committed entries. From then on the group
 * tolerates the loss of another member.
 */
public final class MemberRepair {
    private final String node;
    private final long startedAt;

    /**
     * Creates a repair that starts at {@code now}.
     *
     * @param node node id of the member to repair
     * @param now current time in nanoseconds
     */
    public MemberRepair(String node, long now) {
        this.node = node;
        this.startedAt = now;
    }

    /** The next step of a repair. */
    public sealed interface Step {}

    /** Propose this membership change, then compute the next step. */
    public record Change(MembershipChange change) implements Step {}

    /** Nothing can be done yet; compute the next step later. */
    public record Wait(String reason) implements Step {}

    /** The node has a voter that holds all committed entries. */
    public record Done(MemberId id) implements Step {}

    /** Returns the next step for the leader's view of the group. */
    public Step next(ClusterStatus status) {
        if (!status.leaderReady()) {
            return new Wait("this node is not a leader that is ready to serve; ask the leader");
        }
        if (!status.configurationCommitted()) {
            return new Wait("a membership change is not committed yet");
        }
        Configuration configuration = status.configuration();
        List<Member> members = configuration.membersOf(node);
        if (members.isEmpty()) {
            return new Wait(node + " is not a member; add it as a learner first");
        }
        Option<Member> learner = Option.ofOptional(findMember(members, false));
        Option<Member> voter = Option.ofOptional(findMember(members, true));
        Option<MemberId> newIncarnation = Option.of(status.nonMembers().get(node));
        boolean voterResponded = voter.exists(v -> hasResponded(status, v.id()));
        if (learner.isDefined()) {
            MemberId id = learner.get().id();
            // Either the node lost its disk again, or a delayed vote request of an earlier
            // incarnation caused a learner to be added that no longer exists.
            boolean unreachable =
                    !hasResponded(status, id) && (newIncarnation.isDefined() || voterResponded);
            return unreachable
                    ? new Change(new MembershipChange.Remove(id))
                    : replaceVoter(status, voter, id);
        }
        if (newIncarnation.isDefined() && !voterResponded) {
            String address = members.get(0).address();
            return new Change(new MembershipChange.AddLearner(newIncarnation.get(), address));
        }
        return confirmVoter(status, members.get(0).id());
    }

    private Step replaceVoter(ClusterStatus status, Option<Member> old, MemberId learner) {
        if (!hasResponded(status, learner) || !isCaughtUp(status, learner)) {
            return new Wait(learner + " is catching up: " + status.progress().get(learner));
        }
        return old.isDefined()
                ? new Change(new MembershipChange.Remove(old.get().id()))
                : new Change(new MembershipChange.Promote(learner));
    }

    private Step confirmVoter(ClusterStatus status, MemberId voter) {
        if (voter.equals(status.self())) {
            return new Done(voter);
        }
        if (!hasResponded(status, voter)) {
            return new Wait(
                    voter
                            + " does not respond and no other incarnation has requested votes;"
                            + " start the node with an empty data folder");
        }
        if (!isCaughtUp(status, voter)) {
            return new Wait(voter + " is catching up: " + status.progress().get(voter));
        }
        return new Done(voter);
    }

    private boolean hasResponded(ClusterStatus status, MemberId id) {
        return Option.of(status.progress().get(id))
                .flatMap(p -> p.contactAt())
                .exists(at -> at - startedAt > 0);
    }

    private static boolean isCaughtUp(ClusterStatus status, MemberId id) {
        return Option.of(status.progress().get(id))
                .exists(p -> p.matchIndex() >= status.commitIndex());
    }

    private static java.util.Optional<Member> findMember(List<Member> members, boolean voter) {
        return members.stream().filter(m -> m.voter() == voter).findFirst();
    }
}
