package org.ragwortmoor.coordination.consensus;

import static org.assertj.core.api.Assertions.assertThat;
import static org.ragwortmoor.coordination.consensus.VirtualGroup.NANOS_PER_MS;

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

/** Tests the safety and progress of a consensus group under faults, in virtual time. */
class ReplicatedLogTest {
    private static final ConsensusSettings SMALL_LIMITS =
            ConsensusSettings.defaults(Map.of("x", "x"))
                    .withSnapshotEntries(25)
                    .withMessageBytes(60, 50);

    /** Guards against lost or changed committed entries and two leaders under mixed faults. */
    @Property(tries = 150, seed = "42")
    void randomFaultsPreserveSafetyAndGroupRecovers(
            @ForAll @LongRange(min = 0, max = 100_000) long seed) {
        VirtualGroup group = new VirtualGroup(seed, 3 + 2 * (int) (seed % 2), SMALL_LIMITS);
        group.lossProbability = 0.05;
        group.duplicationProbability = 0.05;
        group.maxDelayNanos = 30 * NANOS_PER_MS;
        List<ControlProcess> all = new ArrayList<>(group.processes.values());
        for (int step = 0; step < 120; step++) {
            ControlProcess chosen = all.get(group.random.nextInt(all.size()));
            ControlProcess other = all.get(group.random.nextInt(all.size()));
            switch (group.random.nextInt(12)) {
                case 0 -> group.blockLink(chosen.id, other.id);
                case 1 -> group.isolate(chosen.id);
                case 2, 3 -> restart(chosen);
                case 4 -> group.heal();
                case 5 -> {
                    if (chosen.ready()) {
                        chosen.handle(new ConsensusEvent.TransferLeadership());
                    }
                }
                default -> proposeOnAll(all, "s" + step);
            }
            group.lossProbability = 0.05;
            group.run(group.random.nextLong(400 * NANOS_PER_MS));
        }
        group.heal();
        group.run(1000 * NANOS_PER_MS);
        group.propose(3, "after");
        group.awaitConvergence();
    }

    private static void restart(ControlProcess process) {
        process.crash();
        process.start();
    }

    private static void proposeOnAll(List<ControlProcess> all, String command) {
        for (int i = 0; i < 5; i++) {
            for (ControlProcess process : all) {
                process.propose(command + "." + i);
            }
        }
    }

    /** Guards against a leader that serves or accepts proposals after it may have been replaced. */
    @Test
    void isolatedLeaderRefusesBeforeItsSuccessorServes() {
        VirtualGroup group = VirtualGroup.of(1, 3);
        ControlProcess oldLeader = group.awaitLeader();
        group.propose(3, "a");
        group.isolate(oldLeader.id);
        long isolatedAt = group.now;
        group.run(410 * NANOS_PER_MS);
        assertThat(oldLeader.ready()).isFalse();
        Refusal refusal = oldLeader.propose("lost").getLeft();
        assertThat(refusal.kind()).isEqualTo(RefusalKind.NO_QUORUM);
        assertThat(refusal.message()).contains(group.otherThan(oldLeader).id);
        ControlProcess next = group.awaitLeader();
        assertThat(next).isNotSameAs(oldLeader);
        assertThat(group.now - isolatedAt).isLessThan(2000 * NANOS_PER_MS);
        group.run(1000 * NANOS_PER_MS);
        assertThat(oldLeader.propose("lost").getLeft().kind()).isEqualTo(RefusalKind.NOT_LEADER);
        group.heal();
        group.propose(3, "b");
        group.awaitConvergence();
    }

    /** Guards against an election caused by a higher term of a member after a long partition. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void memberReturningFromLongPartitionDoesNotDisruptLeader(boolean bothDirections) {
        VirtualGroup group = VirtualGroup.of(2, 3);
        ControlProcess leader = group.awaitLeader();
        ControlProcess absent = group.otherThan(leader);
        long term = leader.log.node().term();
        if (bothDirections) {
            group.isolate(absent.id);
        } else {
            // The member receives no messages, but its own vote requests are delivered.
            group.processes.keySet().forEach(id -> group.blockLink(id, absent.id));
        }
        group.run(60_000 * NANOS_PER_MS);
        group.propose(5, "x");
        group.heal();
        group.run(5_000 * NANOS_PER_MS);
        assertThat(leader.ready()).isTrue();
        assertThat(leader.log.node().term()).isEqualTo(term);
        group.awaitConvergence();
    }

    /** Guards against catch-up that fails for many entries, by log entries or by snapshot. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void memberCatchesUpAfterHundredsOfEntries(boolean bySnapshot) {
        VirtualGroup group =
                bySnapshot ? new VirtualGroup(3, 3, SMALL_LIMITS) : VirtualGroup.of(3, 3);
        group.awaitLeader();
        group.propose(5, "before");
        ControlProcess absent = group.otherThan(group.leader());
        absent.crash();
        group.propose(600, "c");
        absent.start();
        group.awaitConvergence();
        assertThat(absent.commands).hasSize(605);
        assertThat(absent.log.dump(group.now)).contains(bySnapshot ? "base 6" : "base 0");
        group.processes.values().forEach(ReplicatedLogTest::restart);
        group.propose(3, "again");
        group.awaitConvergence();
    }

    /** Guards against a second group formed by a majority of members with empty logs. */
    @Test
    void lostDiskAndAnEmptyMemberFormNoSecondGroup() {
        VirtualGroup group = VirtualGroup.of(4, 3);
        group.await(
                5_000 * NANOS_PER_MS,
                "election",
                () -> group.processes.values().stream().anyMatch(p -> isLeader(p)));
        ControlProcess leader =
                group.processes.values().stream().filter(p -> isLeader(p)).findFirst().get();
        // This member has voted, but never receives the first configuration.
        ControlProcess empty = group.otherThan(leader);
        group.isolate(empty.id);
        group.propose(2, "kept");
        assertThat(empty.log.node().lastPosition().index()).isZero();
        ControlProcess wiped = group.otherThan(leader, empty);
        wiped.loseDisk();
        wiped.start();
        leader.crash();
        group.heal();
        group.run(60_000 * NANOS_PER_MS);
        assertThat(wiped.log.node().role()).isNotEqualTo(Role.LEADER);
        assertThat(empty.log.node().role()).isNotEqualTo(Role.LEADER);
        leader.start();
        group.propose(2, "more");
        assertThat(leader.commands).startsWith("kept0", "kept1");
    }

    private static boolean isLeader(ControlProcess process) {
        return process.log.node().role() == Role.LEADER;
    }

    /**
     * Guards against reporting a repair done before the group tolerates the loss of another disk.
     */
    @ParameterizedTest
    @ValueSource(longs = {5, 6, 7, 8})
    void groupToleratesSecondLossAfterRepair(long seed) {
        VirtualGroup group = new VirtualGroup(seed, 3, SMALL_LIMITS);
        group.lossProbability = 0.02;
        ControlProcess leader = group.awaitLeader();
        group.propose(80, "c");
        ControlProcess wiped = group.otherThan(leader);
        ControlProcess other = group.otherThan(leader, wiped);
        long oldIncarnation = wiped.log.node().self().incarnation();
        wiped.loseDisk();
        wiped.start();
        assertThat(group.repair(wiped.id, 60_000 * NANOS_PER_MS)).as(group.dump()).isTrue();
        List<MemberId> voters = group.leader().log.node().configuration().voters();
        assertThat(voters).hasSize(3).doesNotContain(new MemberId(wiped.id, oldIncarnation));
        (group.random.nextBoolean() ? leader : other).loseDisk();
        group.propose(5, "after");
        group.awaitConvergence();
        assertThat(wiped.commands).hasSize(85);
    }

    /** Guards against losing committed entries when lost disks are repaired one after another. */
    @Property(tries = 40, seed = "42")
    void lostDisksUnderFaultsAreRepaired(@ForAll @LongRange(min = 0, max = 100_000) long seed) {
        VirtualGroup group = new VirtualGroup(seed, 3 + 2 * (int) (seed % 2), SMALL_LIMITS);
        List<ControlProcess> all = new ArrayList<>(group.processes.values());
        group.propose(10, "first");
        for (int round = 0; round < 4; round++) {
            group.lossProbability = 0.05;
            group.duplicationProbability = 0.05;
            ControlProcess wiped = all.get(group.random.nextInt(all.size()));
            wiped.loseDisk();
            group.run(group.random.nextLong(1500 * NANOS_PER_MS));
            wiped.start();
            for (int step = 0; step < 10; step++) {
                ControlProcess chosen = all.get(group.random.nextInt(all.size()));
                if (chosen != wiped && group.random.nextInt(3) == 0) {
                    restart(chosen);
                } else if (group.random.nextInt(3) == 0) {
                    group.blockLink(chosen.id, all.get(group.random.nextInt(all.size())).id);
                }
                proposeOnAll(all, "r" + round + "s" + step);
                group.run(group.random.nextLong(300 * NANOS_PER_MS));
            }
            group.heal();
            assertThat(group.repair(wiped.id, 60_000 * NANOS_PER_MS)).as(group.dump()).isTrue();
        }
        group.run(1000 * NANOS_PER_MS);
        group.propose(3, "after");
        group.awaitConvergence();
    }

    /**
     * Guards against reporting done while the member has no copy, or only its lost disk had one.
     */
    @Test
    void repairIsNotDoneWhileTheMemberDoesNotAnswer() {
        VirtualGroup group = VirtualGroup.of(9, 3);
        ControlProcess leader = group.awaitLeader();
        group.propose(5, "c");
        ControlProcess wiped = group.otherThan(leader);
        wiped.loseDisk();
        assertThat(group.repair(wiped.id, 5_000 * NANOS_PER_MS)).isFalse();
        wiped.start();
        group.blockLink(leader.id, wiped.id);
        assertThat(group.repair(wiped.id, 5_000 * NANOS_PER_MS)).isFalse();
        assertThat(leader.log.node().configuration().membersOf(wiped.id)).hasSize(2);
        group.heal();
        assertThat(group.repair(wiped.id, 60_000 * NANOS_PER_MS)).isTrue();
    }

    /** Guards against unsafe orders of the membership changes that replace a voter. */
    @Test
    void membershipChangesAreRefusedOutOfOrder() {
        VirtualGroup group = VirtualGroup.of(10, 3);
        ControlProcess leader = group.awaitLeader();
        MemberId oldIncarnation = group.otherThan(leader).log.node().self();
        MemberId newIncarnation = new MemberId(oldIncarnation.node(), 777);
        var add = new MembershipChange.AddLearner(newIncarnation, "127.0.0.9:1");
        assertThat(leader.change(add).isRight()).isTrue();
        Either<Refusal, Position> second =
                leader.change(new MembershipChange.Remove(oldIncarnation));
        assertThat(second.getLeft().kind()).isEqualTo(RefusalKind.CHANGE_IN_PROGRESS);
        group.run(200 * NANOS_PER_MS);
        Either<Refusal, Position> early =
                leader.change(new MembershipChange.Promote(newIncarnation));
        assertThat(early.getLeft().message()).contains("old incarnation");
        assertThat(leader.change(new MembershipChange.Remove(oldIncarnation)).isRight()).isTrue();
        group.run(200 * NANOS_PER_MS);
        Either<Refusal, Position> behind =
                leader.change(new MembershipChange.Promote(newIncarnation));
        assertThat(behind.getLeft().kind()).isEqualTo(RefusalKind.INVALID_CHANGE);
    }

    /**
     * Guards against acknowledging entries that were not stored, on a full disk or a failed sync.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void memberWithAFailedWriteStepsDownAndReturnsAfterARestart(boolean diskFull) {
        VirtualGroup group = VirtualGroup.of(11, 3);
        ControlProcess leader = group.awaitLeader();
        group.propose(5, "c");
        if (diskFull) {
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
        group.awaitConvergence();
    }

    /** Guards against sending a vote that could not be saved. */
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

    /** Guards against an election timeout without a leader at a planned stop. */
    @Test
    void plannedStopTransfersLeadershipImmediately() {
        VirtualGroup group = VirtualGroup.of(12, 3);
        ControlProcess leader = group.awaitLeader();
        group.propose(5, "c");
        long begin = group.now;
        leader.handle(new ConsensusEvent.TransferLeadership());
        assertThat(leader.propose("late").isLeft()).isTrue();
        ControlProcess next = group.awaitLeader();
        assertThat(next).isNotSameAs(leader);
        assertThat(group.now - begin).isLessThan(100 * NANOS_PER_MS);
    }

    /** Guards against wrong majorities in single-node and even-sized groups. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 4})
    void singleNodeAndEvenSizedGroupsCommit(int size) {
        VirtualGroup group = VirtualGroup.of(13, size);
        group.propose(10, "c");
        group.awaitConvergence();
        group.processes.values().forEach(ReplicatedLogTest::restart);
        group.propose(10, "d");
        group.awaitConvergence();
    }
}
