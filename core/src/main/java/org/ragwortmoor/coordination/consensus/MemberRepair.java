package org.ragwortmoor.coordination.consensus;

import io.vavr.control.Option;
import java.util.List;
import org.ragwortmoor.state.log.Configuration;
import org.ragwortmoor.state.log.Member;
import org.ragwortmoor.state.log.MemberId;

/**
 * Replaces a member that lost its disk: add the new incarnation as a learner, let it catch up,
 * remove the old incarnation, promote the learner.
 *
 * <p>Every step is derived from the replicated configuration, so a repair can be asked for again on
 * the same or another leader. It reports done only after an answer of the new voter to a message
 * that was sent after the repair had begun shows that it holds all committed entries; from then on
 * another member may be lost.
 */
public final class MemberRepair {
    private final String node;
    private final long startedAt;

    /**
     * Starts a repair.
     *
     * @param node node id of the member
     * @param now current time in nanoseconds
     */
    public MemberRepair(String node, long now) {
        this.node = node;
        this.startedAt = now;
    }

    /** What to do next. */
    public sealed interface Step {}

    /** Propose this change, then ask again. */
    public record Change(MembershipChange change) implements Step {}

    /** Ask again later. */
    public record Wait(String reason) implements Step {}

    /** The node has a voter that holds all committed entries. */
    public record Done(MemberId id) implements Step {}

    /** Returns the next step for the group as the leader sees it. */
    public Step next(ClusterStatus status) {
        if (!status.leaderReady()) {
            return new Wait("this node is no leader with a majority; ask the leader");
        }
        if (!status.configurationCommitted()) {
            return new Wait("a membership change waits for a majority");
        }
        Configuration configuration = status.configuration();
        List<Member> members = configuration.membersOf(node);
        if (members.isEmpty()) {
            return new Wait(node + " is no member; add it as a learner first");
        }
        Option<Member> learner = Option.ofOptional(find(members, false));
        Option<Member> voter = Option.ofOptional(find(members, true));
        Option<MemberId> stranger = Option.of(status.strangers().get(node));
        boolean voterAnswers = voter.exists(v -> answers(status, v.id()));
        if (learner.isDefined()) {
            MemberId id = learner.get().id();
            // Either the node has lost its disk once more, or a late message of an earlier
            // incarnation has added a learner that does not exist any more.
            boolean gone = !answers(status, id) && (stranger.isDefined() || voterAnswers);
            return gone ? new Change(new MembershipChange.Remove(id)) : replace(status, voter, id);
        }
        if (stranger.isDefined() && !voterAnswers) {
            String address = members.get(0).address();
            return new Change(new MembershipChange.AddLearner(stranger.get(), address));
        }
        return confirm(status, members.get(0).id());
    }

    private Step replace(ClusterStatus status, Option<Member> old, MemberId learner) {
        if (!answers(status, learner) || !holdsCommitted(status, learner)) {
            return new Wait(learner + " catches up: " + status.progress().get(learner));
        }
        return old.isDefined()
                ? new Change(new MembershipChange.Remove(old.get().id()))
                : new Change(new MembershipChange.Promote(learner));
    }

    private Step confirm(ClusterStatus status, MemberId voter) {
        if (voter.equals(status.self())) {
            return new Done(voter);
        }
        if (!answers(status, voter)) {
            return new Wait(
                    voter
                            + " does not answer and no other incarnation has made contact; start"
                            + " the node with an empty data folder");
        }
        if (!holdsCommitted(status, voter)) {
            return new Wait(voter + " catches up: " + status.progress().get(voter));
        }
        return new Done(voter);
    }

    private boolean answers(ClusterStatus status, MemberId id) {
        return Option.of(status.progress().get(id))
                .flatMap(p -> p.contactAt())
                .exists(at -> at - startedAt > 0);
    }

    private static boolean holdsCommitted(ClusterStatus status, MemberId id) {
        return Option.of(status.progress().get(id))
                .exists(p -> p.matchIndex() >= status.commitIndex());
    }

    private static java.util.Optional<Member> find(List<Member> members, boolean voter) {
        return members.stream().filter(m -> m.voter() == voter).findFirst();
    }
}
