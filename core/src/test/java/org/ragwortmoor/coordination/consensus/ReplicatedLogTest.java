package org.ragwortmoor.coordination.consensus;

import static org.assertj.core.api.Assertions.assertThat;
import static org.ragwortmoor.coordination.consensus.VirtualGroup.MS;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortmoor.coordination.consensus.VirtualGroup.ControlProcess;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.log.MemberId;

/** Guards the safety and progress of the control group under faults, in virtual time. */
class ReplicatedLogTest {
    private static final ConsensusSettings SMALL =
            ConsensusSettings.defaults(Map.of("x", "x"))
                    .withSnapshotEntries(25)
                    .withMessageBytes(60, 50);

    /** Guards against lost or changed committed entries and two leaders under mixed faults. */
    @Property(tries = 150, seed = "42")
    void randomFaultsKeepSafetyAndHeal(@ForAll @LongRange(min = 0, max = 100_000) long seed) {
        VirtualGroup group = new VirtualGroup(seed, 3 + 2 * (int) (seed % 2), SMALL);
        group.loss = 0.05;
        group.duplication = 0.05;
        group.maxDelay = 30 * MS;
        List<ControlProcess> all = new ArrayList<>(group.processes.values());
        for (int step = 0; step < 120; step++) {
            ControlProcess some = all.get(group.random.nextInt(all.size()));
            ControlProcess other = all.get(group.random.nextInt(all.size()));
            switch (group.random.nextInt(12)) {
                case 0 -> group.cut(some.id, other.id);
                case 1 -> group.isolate(some.id);
                case 2, 3 -> restart(some);
                case 4 -> group.heal();
                case 5 -> {
                    if (some.ready()) {
                        some.handle(new ConsensusEvent.TransferLeadership());
                    }
                }
                default -> proposeAnywhere(all, "s" + step);
            }
            group.loss = 0.05;
            group.run(group.random.nextLong(400 * MS));
        }
        group.heal();
        group.run(1000 * MS);
        group.propose(3, "after");
        group.awaitAgreement();
    }

    private static void restart(ControlProcess process) {
        process.crash();
        process.start();
    }

    private static void proposeAnywhere(List<ControlProcess> all, String command) {
        for (int i = 0; i < 5; i++) {
            for (ControlProcess process : all) {
                process.propose(command + "." + i);
            }
        }
    }

    /** Guards against a leader that serves or accepts after a majority may have replaced it. */
    @Test
    void isolatedLeaderRefusesBeforeItsSuccessorServes() {
        VirtualGroup group = VirtualGroup.of(1, 3);
        ControlProcess old = group.awaitLeader();
        group.propose(3, "a");
        group.isolate(old.id);
        long cutAt = group.now;
        group.run(410 * MS);
        assertThat(old.ready()).isFalse();
        Refusal refusal = old.propose("lost").getLeft();
        assertThat(refusal.kind()).isEqualTo(RefusalKind.NO_QUORUM);
        assertThat(refusal.message()).contains(group.otherThan(old).id);
        ControlProcess next = group.awaitLeader();
        assertThat(next).isNotSameAs(old);
        assertThat(group.now - cutAt).isLessThan(2000 * MS);
        group.run(1000 * MS);
        assertThat(old.propose("lost").getLeft().kind()).isEqualTo(RefusalKind.NOT_LEADER);
        group.heal();
        group.propose(3, "b");
        group.awaitAgreement();
    }

    /** Guards against an election because a member returns from a long cut with a higher term. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void returnAfterALongCutDoesNotDisturbTheLeader(boolean bothDirections) {
        VirtualGroup group = VirtualGroup.of(2, 3);
        ControlProcess leader = group.awaitLeader();
        ControlProcess away = group.otherThan(leader);
        long term = leader.log.node().term();
        if (bothDirections) {
            group.isolate(away.id);
        } else {
            // It hears nobody, but its own requests arrive.
            group.processes.keySet().forEach(id -> group.cut(id, away.id));
        }
        group.run(60_000 * MS);
        group.propose(5, "x");
        group.heal();
        group.run(5_000 * MS);
        assertThat(leader.ready()).isTrue();
        assertThat(leader.log.node().term()).isEqualTo(term);
        group.awaitAgreement();
    }

    /** Guards against catch-up that works only for a few entries, by entries or by snapshot. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void memberCatchesUpAfterHundredsOfEntries(boolean bySnapshot) {
        VirtualGroup group = bySnapshot ? new VirtualGroup(3, 3, SMALL) : VirtualGroup.of(3, 3);
        group.awaitLeader();
        group.propose(5, "before");
        ControlProcess away = group.otherThan(group.leader());
        away.crash();
        group.propose(600, "c");
        away.start();
        group.awaitAgreement();
        assertThat(away.commands).hasSize(605);
        assertThat(away.log.dump(group.now)).contains(bySnapshot ? "base 6" : "base 0");
        group.processes.values().forEach(ReplicatedLogTest::restart);
        group.propose(3, "again");
        group.awaitAgreement();
    }

    /** Guards against a group in which lost disks form a majority that knows nothing. */
    @Test
    void lostDiskAndAnEmptyMemberFormNoSecondGroup() {
        VirtualGroup group = VirtualGroup.of(4, 3);
        group.await(
                5_000 * MS,
                "election",
                () -> group.processes.values().stream().anyMatch(p -> isLeader(p)));
        ControlProcess leader =
                group.processes.values().stream().filter(p -> isLeader(p)).findFirst().get();
        // It has voted, but the first configuration never reaches it.
        ControlProcess empty = group.otherThan(leader);
        group.isolate(empty.id);
        group.propose(2, "kept");
        assertThat(empty.log.node().lastPosition().index()).isZero();
        ControlProcess lost = group.otherThan(leader, empty);
        lost.loseDisk();
        lost.start();
        leader.crash();
        group.heal();
        group.run(60_000 * MS);
        assertThat(lost.log.node().role()).isNotEqualTo(Role.LEADER);
        assertThat(empty.log.node().role()).isNotEqualTo(Role.LEADER);
        leader.start();
        group.propose(2, "more");
        assertThat(leader.commands).startsWith("kept0", "kept1");
    }

    private static boolean isLeader(ControlProcess process) {
        return process.log.node().role() == Role.LEADER;
    }

    /** Guards against a second loss right after a repair that was reported done too early. */
    @ParameterizedTest
    @ValueSource(longs = {5, 6, 7, 8})
    void afterARepairASecondMemberMayBeLost(long seed) {
        VirtualGroup group = new VirtualGroup(seed, 3, SMALL);
        group.loss = 0.02;
        ControlProcess leader = group.awaitLeader();
        group.propose(80, "c");
        ControlProcess lost = group.otherThan(leader);
        ControlProcess other = group.otherThan(leader, lost);
        long oldIncarnation = lost.log.node().self().incarnation();
        lost.loseDisk();
        lost.start();
        assertThat(group.repair(lost.id, 60_000 * MS)).as(group.dump()).isTrue();
        List<MemberId> voters = group.leader().log.node().configuration().voters();
        assertThat(voters).hasSize(3).doesNotContain(new MemberId(lost.id, oldIncarnation));
        (group.random.nextBoolean() ? leader : other).loseDisk();
        group.propose(5, "after");
        group.awaitAgreement();
        assertThat(lost.commands).hasSize(85);
    }

    /** Guards against losses through lost disks that are repaired one after another. */
    @Property(tries = 40, seed = "42")
    void lostDisksUnderFaultsAreRepaired(@ForAll @LongRange(min = 0, max = 100_000) long seed) {
        VirtualGroup group = new VirtualGroup(seed, 3 + 2 * (int) (seed % 2), SMALL);
        List<ControlProcess> all = new ArrayList<>(group.processes.values());
        group.propose(10, "first");
        for (int round = 0; round < 4; round++) {
            group.loss = 0.05;
            group.duplication = 0.05;
            ControlProcess lost = all.get(group.random.nextInt(all.size()));
            lost.loseDisk();
            group.run(group.random.nextLong(1500 * MS));
            lost.start();
            for (int step = 0; step < 10; step++) {
                ControlProcess some = all.get(group.random.nextInt(all.size()));
                if (some != lost && group.random.nextInt(3) == 0) {
                    restart(some);
                } else if (group.random.nextInt(3) == 0) {
                    group.cut(some.id, all.get(group.random.nextInt(all.size())).id);
                }
                proposeAnywhere(all, "r" + round + "s" + step);
                group.run(group.random.nextLong(300 * MS));
            }
            group.heal();
            assertThat(group.repair(lost.id, 60_000 * MS)).as(group.dump()).isTrue();
        }
        group.run(1000 * MS);
        group.propose(3, "after");
        group.awaitAgreement();
    }

    /** Guards against reporting done while the member has no copy, or only its old one had. */
    @Test
    void repairIsNotDoneWhileTheMemberDoesNotAnswer() {
        VirtualGroup group = VirtualGroup.of(9, 3);
        ControlProcess leader = group.awaitLeader();
        group.propose(5, "c");
        ControlProcess lost = group.otherThan(leader);
        lost.loseDisk();
        assertThat(group.repair(lost.id, 5_000 * MS)).isFalse();
        lost.start();
        group.cut(leader.id, lost.id);
        assertThat(group.repair(lost.id, 5_000 * MS)).isFalse();
        assertThat(leader.log.node().configuration().membersOf(lost.id)).hasSize(2);
        group.heal();
        assertThat(group.repair(lost.id, 60_000 * MS)).isTrue();
    }

    /** Guards against a learner that replaces a voter in another order than the safe one. */
    @Test
    void membershipChangesAreRefusedOutOfOrder() {
        VirtualGroup group = VirtualGroup.of(10, 3);
        ControlProcess leader = group.awaitLeader();
        MemberId old = group.otherThan(leader).log.node().self();
        MemberId fresh = new MemberId(old.node(), 777);
        var add = new MembershipChange.AddLearner(fresh, "127.0.0.9:1");
        assertThat(leader.change(add).isRight()).isTrue();
        Either<Refusal, Position> second = leader.change(new MembershipChange.Remove(old));
        assertThat(second.getLeft().kind()).isEqualTo(RefusalKind.CHANGE_IN_PROGRESS);
        group.run(200 * MS);
        Either<Refusal, Position> early = leader.change(new MembershipChange.Promote(fresh));
        assertThat(early.getLeft().message()).contains("old incarnation");
        assertThat(leader.change(new MembershipChange.Remove(old)).isRight()).isTrue();
        group.run(200 * MS);
        Either<Refusal, Position> behind = leader.change(new MembershipChange.Promote(fresh));
        assertThat(behind.getLeft().kind()).isEqualTo(RefusalKind.INVALID_CHANGE);
    }

    /** Guards against acknowledging what a full disk or a refused sync did not keep. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void memberWithAFailedWriteStepsDownAndReturnsAfterARestart(boolean full) {
        VirtualGroup group = VirtualGroup.of(11, 3);
        ControlProcess leader = group.awaitLeader();
        group.propose(5, "c");
        if (full) {
            leader.storage.limitCapacity(leader.storage.usedBytes() + 10);
        } else {
            leader.storage.failSyncs(true);
        }
        leader.propose("unknown");
        assertThat(leader.log.failure().isDefined()).isTrue();
        assertThat(leader.log.node().role()).isEqualTo(Role.FAILED);
        Refusal refusal = leader.propose("refused").getLeft();
        assertThat(refusal.kind()).isEqualTo(RefusalKind.STORAGE_FAILED);
        group.propose(5, "d");
        assertThat(leader.appliedIndex).isLessThan(group.committed.lastKey());
        leader.crash();
        leader.storage.limitCapacity(Long.MAX_VALUE);
        leader.storage.failSyncs(false);
        leader.start();
        group.awaitAgreement();
    }

    /** Guards against sending a vote that the disk did not keep. */
    @Test
    void voteThatWasNotSavedIsNotSent() {
        VirtualGroup group = VirtualGroup.of(14, 3);
        ControlProcess voter = group.otherThan(group.awaitLeader());
        group.propose(3, "c");
        voter.storage.failSyncs(true);
        var request =
                new ConsensusMessage.VoteRequest(
                        group.leader().log.node().self(),
                        voter.log.node().self(),
                        99,
                        false,
                        true,
                        1000,
                        99,
                        List.of());
        List<ConsensusAction> actions =
                voter.log.handle(new ConsensusEvent.Received(request), group.now);
        assertThat(actions).isEmpty();
        assertThat(voter.log.node().role()).isEqualTo(Role.FAILED);
    }

    /** Guards against a write gap of a whole election deadline at a planned stop. */
    @Test
    void plannedStopHandsOverAtOnce() {
        VirtualGroup group = VirtualGroup.of(12, 3);
        ControlProcess leader = group.awaitLeader();
        group.propose(5, "c");
        long begin = group.now;
        leader.handle(new ConsensusEvent.TransferLeadership());
        assertThat(leader.propose("late").isLeft()).isTrue();
        ControlProcess next = group.awaitLeader();
        assertThat(next).isNotSameAs(leader);
        assertThat(group.now - begin).isLessThan(100 * MS);
    }

    /** Guards against mistakes of single-node and even-sized groups. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 4})
    void otherSizesCommit(int size) {
        VirtualGroup group = VirtualGroup.of(13, size);
        group.propose(10, "c");
        group.awaitAgreement();
        group.processes.values().forEach(ReplicatedLogTest::restart);
        group.propose(10, "d");
        group.awaitAgreement();
    }
}
