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
        Option<MemberId> stranger = Option.of(status.strangers().get(node));
        if (learner.isDefined()) {
            return replace(status, members, learner.get(), stranger);
        }
        if (stranger.isDefined()) {
            String address = members.get(0).address();
            return new Change(new MembershipChange.AddLearner(stranger.get(), address));
        }
        return confirm(status, members.get(0).id());
    }

    private Step replace(
            ClusterStatus status, List<Member> members, Member learner, Option<MemberId> stranger) {
        boolean answers = answers(status, learner.id());
        if (stranger.isDefined() && !answers) {
            // The node has lost its disk once more.
            return new Change(new MembershipChange.Remove(learner.id()));
        }
        if (!answers || !holdsCommitted(status, learner.id())) {
            return new Wait(learner.id() + " catches up: " + status.progress().get(learner.id()));
        }
        return Option.ofOptional(find(members, true))
                .map(old -> (Step) new Change(new MembershipChange.Remove(old.id())))
                .getOrElse(new Change(new MembershipChange.Promote(learner.id())));
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
        return Option.of(status.progress().get(id)).exists(p -> p.contactAt() - startedAt > 0);
    }

    private static boolean holdsCommitted(ClusterStatus status, MemberId id) {
        return Option.of(status.progress().get(id))
                .exists(p -> p.matchIndex() >= status.commitIndex());
    }

    private static java.util.Optional<Member> find(List<Member> members, boolean voter) {
        return members.stream().filter(m -> m.voter() == voter).findFirst();
    }
}
