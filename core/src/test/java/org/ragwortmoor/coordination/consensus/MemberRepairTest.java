package org.ragwortmoor.coordination.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.coordination.consensus.ClusterStatus.MemberProgress;
import org.ragwortmoor.state.log.Configuration;
import org.ragwortmoor.state.log.Member;
import org.ragwortmoor.state.log.MemberId;

/** Guards against steps of a repair that are out of order, unsafe or never end. */
class MemberRepairTest {
    private static final long START = 1000;
    private static final MemberId A = new MemberId("a", 1);
    private static final MemberId OLD = new MemberId("b", 2);
    private static final MemberId FRESH = new MemberId("b", 3);
    private static final MemberProgress CAUGHT_UP = new MemberProgress(50, Option.some(START + 1));
    private static final MemberProgress BEHIND = new MemberProgress(49, Option.some(START + 1));
    private static final MemberProgress SILENT = new MemberProgress(50, Option.some(START));

    private final Map<MemberId, MemberProgress> progress = new HashMap<>();
    private final Map<String, MemberId> nonMembers = new HashMap<>();
    private boolean ready = true;
    private boolean committed = true;

    private MemberRepair.Step next(Member... membersOfB) {
        Configuration configuration = new Configuration(List.of(new Member(A, "a", true)));
        for (Member member : membersOfB) {
            configuration = configuration.with(member);
        }
        return new MemberRepair("b", START)
                .next(
                        new ClusterStatus(
                                START + 2,
                                ready,
                                A,
                                configuration,
                                committed,
                                50,
                                progress,
                                nonMembers));
    }

    private static Member voter(MemberId id) {
        return new Member(id, "b", true);
    }

    private static Member learner(MemberId id) {
        return new Member(id, "b", false);
    }

    private static MemberRepair.Step change(MembershipChange change) {
        return new MemberRepair.Change(change);
    }

    /** Guards against another order than add, catch up, remove, promote, confirm. */
    @Test
    void replacesTheLostIncarnationInOrder() {
        progress.put(OLD, SILENT);
        nonMembers.put("b", FRESH);
        assertThat(next(voter(OLD))).isEqualTo(change(new MembershipChange.AddLearner(FRESH, "b")));
        nonMembers.clear();
        progress.put(FRESH, BEHIND);
        assertThat(next(voter(OLD), learner(FRESH))).isInstanceOf(MemberRepair.Wait.class);
        progress.put(FRESH, CAUGHT_UP);
        assertThat(next(voter(OLD), learner(FRESH)))
                .isEqualTo(change(new MembershipChange.Remove(OLD)));
        assertThat(next(learner(FRESH))).isEqualTo(change(new MembershipChange.Promote(FRESH)));
        assertThat(next(voter(FRESH))).isEqualTo(new MemberRepair.Done(FRESH));
    }

    /** Guards against reporting done for a member that is silent, behind or not yet committed. */
    @Test
    void waitsUntilAnotherMemberMayBeLost() {
        progress.put(OLD, SILENT);
        assertThat(next(voter(OLD))).isInstanceOf(MemberRepair.Wait.class);
        progress.put(OLD, BEHIND);
        assertThat(next(voter(OLD))).isInstanceOf(MemberRepair.Wait.class);
        progress.put(OLD, CAUGHT_UP);
        committed = false;
        assertThat(next(voter(OLD))).isInstanceOf(MemberRepair.Wait.class);
        committed = true;
        ready = false;
        assertThat(next(voter(OLD))).isInstanceOf(MemberRepair.Wait.class);
    }

    /** Guards against a repair that waits forever for an incarnation that is gone. */
    @Test
    void removesALearnerThatIsGone() {
        MembershipChange remove = new MembershipChange.Remove(FRESH);
        progress.put(FRESH, SILENT);
        progress.put(OLD, SILENT);
        nonMembers.put("b", new MemberId("b", 4));
        assertThat(next(voter(OLD), learner(FRESH))).isEqualTo(change(remove));
        nonMembers.clear();
        progress.put(OLD, CAUGHT_UP);
        assertThat(next(voter(OLD), learner(FRESH))).isEqualTo(change(remove));
    }

    /** Guards against replacing a member that answers because of a late message. */
    @Test
    void keepsAVoterThatAnswers() {
        progress.put(OLD, CAUGHT_UP);
        nonMembers.put("b", FRESH);
        assertThat(next(voter(OLD))).isEqualTo(new MemberRepair.Done(OLD));
    }
}
