package org.ragwortmoor.coordination.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.coordination.consensus.ClusterStatus;
import org.ragwortmoor.coordination.consensus.MembershipChange;
import org.ragwortmoor.state.log.Configuration;
import org.ragwortmoor.state.log.Member;
import org.ragwortmoor.state.log.MemberId;

/** The control group repairs itself, one membership change at a time. */
class MembershipKeeperTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final MembershipKeeper keeper = new MembershipKeeper();
    private final Set<MemberId> dead = new HashSet<>();
    private final List<MembershipChange> changes = new ArrayList<>();
    private Configuration configuration = Configuration.EMPTY;
    private long now = 1_000 * MILLI;

    private static MemberId id(String node, int incarnation) {
        return new MemberId(node, incarnation);
    }

    private void founders(String... nodes) {
        for (String node : nodes) {
            configuration = configuration.with(new Member(id(node, 1), node, true));
        }
    }

    private void asks(MemberId id) {
        keeper.asked(id, id.node(), now);
    }

    /** Lets time pass and applies what the keeper proposes. */
    private void run(long millis) {
        for (long passed = 0; passed < millis; passed += 20) {
            now += 20 * MILLI;
            Map<MemberId, ClusterStatus.MemberProgress> progress = new HashMap<>();
            for (Member member : configuration.members()) {
                boolean lives = !dead.contains(member.id());
                progress.put(
                        member.id(),
                        new ClusterStatus.MemberProgress(
                                lives ? 10 : 3, lives ? Option.some(now) : Option.none()));
            }
            ClusterStatus status =
                    new ClusterStatus(
                            now, true, id("a", 1), configuration, true, 10, progress, Map.of());
            keeper.next(status).forEach(this::apply);
        }
    }

    private void apply(MembershipChange change) {
        changes.add(change);
        if (change instanceof MembershipChange.AddLearner add) {
            configuration = configuration.with(new Member(add.id(), add.address(), false));
        } else if (change instanceof MembershipChange.Promote promote) {
            configuration = configuration.with(new Member(promote.id(), promote.id().node(), true));
        } else {
            configuration = configuration.without(((MembershipChange.Remove) change).id());
        }
    }

    @Test
    void aHealthyGroupStaysAsItIs() {
        founders("a", "b", "c");
        run(10_000);
        assertThat(changes).isEmpty();
    }

    @Test
    void aWipedVoterReturnsUnderItsNewIncarnation() {
        founders("a", "b", "c");
        dead.add(id("c", 1));
        asks(id("c", 2));
        run(500);
        assertThat(configuration.voters())
                .containsExactlyInAnyOrder(id("a", 1), id("b", 1), id("c", 2));
        assertThat(changes)
                .containsExactly(
                        new MembershipChange.AddLearner(id("c", 2), "c"),
                        new MembershipChange.Remove(id("c", 1)),
                        new MembershipChange.Promote(id("c", 2)));
    }

    @Test
    void aReplacementAtAnotherAddressTakesTheVoteOfTheOneThatIsGone() {
        founders("a", "b", "c");
        dead.add(id("c", 1));
        run(3_000);
        assertThat(configuration.voters()).hasSize(3);
        asks(id("d", 1));
        run(500);
        assertThat(configuration.voters())
                .containsExactlyInAnyOrder(id("a", 1), id("b", 1), id("d", 1));
    }

    @Test
    void aFourthProcessStandsByWithoutAVote() {
        founders("a", "b", "c");
        asks(id("d", 1));
        run(1_000);
        assertThat(configuration.voters()).hasSize(3);
        assertThat(configuration.members()).hasSize(4);
    }

    @Test
    void fiveProcessesAllVoteAndASixthStandsBy() {
        founders("a", "b", "c");
        asks(id("d", 1));
        asks(id("e", 1));
        asks(id("f", 1));
        run(900);
        assertThat(configuration.voters()).hasSize(5);
        assertThat(configuration.members()).hasSize(6);
    }

    @Test
    void aSilentVoterWithoutASuccessorKeepsItsVote() {
        founders("a", "b", "c");
        dead.add(id("c", 1));
        run(20_000);
        assertThat(configuration.voters()).hasSize(3);
    }

    @Test
    void aLearnerThatNeverAnswersIsForgotten() {
        founders("a", "b", "c");
        dead.add(id("d", 1));
        asks(id("d", 1));
        run(5_000);
        assertThat(configuration.members()).hasSize(3);
    }
}
