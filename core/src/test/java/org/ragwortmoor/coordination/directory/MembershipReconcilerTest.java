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

/** Tests that the control group restores its membership, one change at a time. */
class MembershipReconcilerTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private final MembershipReconciler reconciler = new MembershipReconciler();
    private final Set<MemberId> failed = new HashSet<>();
    private final List<MembershipChange> changes = new ArrayList<>();
    private Configuration configuration = Configuration.EMPTY;
    private long now = 1_000 * MILLI;

    private static MemberId id(String node, int incarnation) {
        return new MemberId(node, incarnation);
    }

    private void initialVoters(String... nodes) {
        for (String node : nodes) {
            configuration = configuration.with(new Member(id(node, 1), node, true));
        }
    }

    private void requestJoin(MemberId id) {
        reconciler.recordJoinRequest(id, id.node(), now);
    }

    /** Advances time and applies the changes that the reconciler proposes. */
    private void run(long millis) {
        for (long passed = 0; passed < millis; passed += 20) {
            now += 20 * MILLI;
            Map<MemberId, ClusterStatus.MemberProgress> progress = new HashMap<>();
            for (Member member : configuration.members()) {
                boolean alive = !failed.contains(member.id());
                progress.put(
                        member.id(),
                        new ClusterStatus.MemberProgress(
                                alive ? 10 : 3, alive ? Option.some(now) : Option.none()));
            }
            ClusterStatus status =
                    new ClusterStatus(
                            now, true, id("a", 1), configuration, true, 10, progress, Map.of());
            reconciler.nextChange(status).forEach(this::apply);
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
    void aHealthyGroupIsNotChanged() {
        initialVoters("a", "b", "c");
        run(10_000);
        assertThat(changes).isEmpty();
    }

    @Test
    void aWipedVoterReturnsUnderItsNewIncarnation() {
        initialVoters("a", "b", "c");
        failed.add(id("c", 1));
        requestJoin(id("c", 2));
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
    void aNodeAtAnotherAddressReplacesAFailedVoter() {
        initialVoters("a", "b", "c");
        failed.add(id("c", 1));
        run(3_000);
        assertThat(configuration.voters()).hasSize(3);
        requestJoin(id("d", 1));
        run(500);
        assertThat(configuration.voters())
                .containsExactlyInAnyOrder(id("a", 1), id("b", 1), id("d", 1));
    }

    @Test
    void aFourthProcessStaysALearner() {
        initialVoters("a", "b", "c");
        requestJoin(id("d", 1));
        run(1_000);
        assertThat(configuration.voters()).hasSize(3);
        assertThat(configuration.members()).hasSize(4);
    }

    @Test
    void fiveProcessesBecomeVotersAndASixthStaysALearner() {
        initialVoters("a", "b", "c");
        requestJoin(id("d", 1));
        requestJoin(id("e", 1));
        requestJoin(id("f", 1));
        run(900);
        assertThat(configuration.voters()).hasSize(5);
        assertThat(configuration.members()).hasSize(6);
    }

    @Test
    void aFailedVoterWithoutAReplacementStaysAVoter() {
        initialVoters("a", "b", "c");
        failed.add(id("c", 1));
        run(20_000);
        assertThat(configuration.voters()).hasSize(3);
    }

    @Test
    void aLearnerThatNeverAnswersIsRemoved() {
        initialVoters("a", "b", "c");
        failed.add(id("d", 1));
        requestJoin(id("d", 1));
        run(5_000);
        assertThat(configuration.members()).hasSize(3);
    }
}
