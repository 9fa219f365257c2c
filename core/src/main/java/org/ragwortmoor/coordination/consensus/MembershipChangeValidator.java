package org.ragwortmoor.coordination.consensus;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.ragwortmoor.state.log.Configuration;
import org.ragwortmoor.state.log.Member;
import org.ragwortmoor.state.log.MemberId;

/**
 * Validates membership changes; only one may be in progress at a time.
 *
 * <p>Any majorities of two configurations are guaranteed to overlap only if the configurations
 * differ by at most one voter. The previous change and an entry of the leader's own term must
 * therefore be committed before the next change.
 */
final class MembershipChangeValidator {
    private final NodeState state;
    private final Leadership leadership;

    MembershipChangeValidator(NodeState state, Leadership leadership) {
        this.state = state;
        this.leadership = leadership;
    }

    /** Returns the resulting configuration, or the reason why the change is refused. */
    Either<Refusal, Configuration> validate(MembershipChange change) {
        Configuration current = state.log.configuration();
        if (state.log.configurationIndex() > state.commitIndex
                || state.commitIndex < leadership.firstIndex()) {
            return refuse(
                    RefusalKind.CHANGE_IN_PROGRESS,
                    "entry " + state.log.lastIndex() + " is not committed");
        }
        if (change instanceof MembershipChange.AddLearner add) {
            return addLearner(current, add);
        }
        if (change instanceof MembershipChange.Promote promote) {
            return promote(current, promote.id());
        }
        return remove(current, ((MembershipChange.Remove) change).id());
    }

    private Either<Refusal, Configuration> addLearner(
            Configuration current, MembershipChange.AddLearner add) {
        if (add.id().incarnation() == 0) {
            return invalid(add.id() + " has no known incarnation");
        }
        if (current.member(add.id()).isDefined()) {
            return invalid(add.id() + " is already a member");
        }
        return Either.right(current.with(new Member(add.id(), add.address(), false)));
    }

    private Either<Refusal, Configuration> promote(Configuration current, MemberId id) {
        Option<Member> member = current.member(id);
        if (!member.exists(m -> !m.voter())) {
            return invalid(id + " is not a learner");
        }
        if (current.membersOf(id.node()).size() > 1) {
            return invalid("remove the old incarnation of " + id.node() + " first");
        }
        long match = leadership.peer(id).map(p -> p.matchIndex).getOrElse(0L);
        if (match < state.commitIndex) {
            return invalid(
                    id
                            + " has matched index "
                            + match
                            + " but commit index is "
                            + state.commitIndex);
        }
        return Either.right(current.with(new Member(id, member.get().address(), true)));
    }

    private Either<Refusal, Configuration> remove(Configuration current, MemberId id) {
        if (current.member(id).isEmpty()) {
            return invalid(id + " is not a member");
        }
        Configuration changed = current.without(id);
        if (changed.voters().isEmpty()) {
            return invalid(id + " is the last voter");
        }
        return Either.right(changed);
    }

    private Either<Refusal, Configuration> invalid(String detail) {
        return refuse(RefusalKind.INVALID_CHANGE, detail);
    }

    private Either<Refusal, Configuration> refuse(RefusalKind kind, String detail) {
        return Either.left(new Refusal(kind, detail, state.leader));
    }
}
