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

/** Guards against repair steps that are out of order or unsafe, and repairs that never end. */
class MemberRepairTest {
    private static final long START = 1000;
    private static final MemberId A = new MemberId("a", 1);
    private static final MemberId OLD_INCARNATION = new MemberId("b", 2);
    private static final MemberId NEW_INCARNATION = new MemberId("b", 3);
    private static final MemberProgress CAUGHT_UP = new MemberProgress(50, Option.some(START + 1));
    private static final MemberProgress BEHIND = new MemberProgress(49, Option.some(START + 1));
    private static final MemberProgress UNRESPONSIVE = new MemberProgress(50, Option.some(START));

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

    /** Guards against an order other than add, catch up, remove, promote, confirm. */
    @Test
    void replacesTheLostIncarnationInOrder() {
        progress.put(OLD_INCARNATION, UNRESPONSIVE);
        nonMembers.put("b", NEW_INCARNATION);
        assertThat(next(voter(OLD_INCARNATION)))
                .isEqualTo(change(new MembershipChange.AddLearner(NEW_INCARNATION, "b")));
        nonMembers.clear();
        progress.put(NEW_INCARNATION, BEHIND);
        assertThat(next(voter(OLD_INCARNATION), learner(NEW_INCARNATION)))
                .isInstanceOf(MemberRepair.Wait.class);
        progress.put(NEW_INCARNATION, CAUGHT_UP);
        assertThat(next(voter(OLD_INCARNATION), learner(NEW_INCARNATION)))
                .isEqualTo(change(new MembershipChange.Remove(OLD_INCARNATION)));
        assertThat(next(learner(NEW_INCARNATION)))
                .isEqualTo(change(new MembershipChange.Promote(NEW_INCARNATION)));
        assertThat(next(voter(NEW_INCARNATION))).isEqualTo(new MemberRepair.Done(NEW_INCARNATION));
    }

    /** Guards against completing while the member is unresponsive, behind or not committed. */
    @Test
    void waitsUntilGroupToleratesAnotherLoss() {
        progress.put(OLD_INCARNATION, UNRESPONSIVE);
        assertThat(next(voter(OLD_INCARNATION))).isInstanceOf(MemberRepair.Wait.class);
        progress.put(OLD_INCARNATION, BEHIND);
        assertThat(next(voter(OLD_INCARNATION))).isInstanceOf(MemberRepair.Wait.class);
        progress.put(OLD_INCARNATION, CAUGHT_UP);
        committed = false;
        assertThat(next(voter(OLD_INCARNATION))).isInstanceOf(MemberRepair.Wait.class);
        committed = true;
        ready = false;
        assertThat(next(voter(OLD_INCARNATION))).isInstanceOf(MemberRepair.Wait.class);
    }

    /** Guards against waiting forever for an incarnation that no longer exists. */
    @Test
    void removesUnreachableLearner() {
        MembershipChange remove = new MembershipChange.Remove(NEW_INCARNATION);
        progress.put(NEW_INCARNATION, UNRESPONSIVE);
        progress.put(OLD_INCARNATION, UNRESPONSIVE);
        nonMembers.put("b", new MemberId("b", 4));
        assertThat(next(voter(OLD_INCARNATION), learner(NEW_INCARNATION)))
                .isEqualTo(change(remove));
        nonMembers.clear();
        progress.put(OLD_INCARNATION, CAUGHT_UP);
        assertThat(next(voter(OLD_INCARNATION), learner(NEW_INCARNATION)))
                .isEqualTo(change(remove));
    }

    /** Guards against replacing a responsive member because of a delayed vote request. */
    @Test
    void keepsResponsiveVoter() {
        progress.put(OLD_INCARNATION, CAUGHT_UP);
        nonMembers.put("b", NEW_INCARNATION);
        assertThat(next(voter(OLD_INCARNATION))).isEqualTo(new MemberRepair.Done(OLD_INCARNATION));
    }
}
