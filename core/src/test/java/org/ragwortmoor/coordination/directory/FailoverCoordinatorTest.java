package org.ragwortmoor.coordination.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.DirectoryCommand;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.directory.FleetSize;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerState;
import org.ragwortmoor.state.routes.GroupLimits;
import org.ragwortmoor.state.routes.RouteTable;

/** Tests when a promotion is ordered, of which server, and with which fencing token. */
class FailoverCoordinatorTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final int PROXIES = 7;

    private final FailoverCoordinator failover = new FailoverCoordinator(new PrimaryLeaseTable(0));
    private DirectoryState state = DirectoryState.EMPTY;
    private long index;
    private long now = 1_000 * MILLI;

    private void setUp(int syncReplicas) {
        apply(
                new DirectoryCommand.PutRoutes(
                        new RouteTable(
                                1,
                                List.of(),
                                List.of(new GroupLimits("g", 30, syncReplicas)),
                                0,
                                "")));
        putServer("s1", ServerState.READY, true);
        putServer("s2", ServerState.READY, false);
        putServer("s3", ServerState.READY, false);
        apply(new DirectoryCommand.SetFleetSize(new FleetSize(PROXIES, 3)));
        failover.reset(now);
    }

    private void putServer(String id, ServerState serverState, boolean primary) {
        apply(
                new DirectoryCommand.PutServer(
                        new ServerRecord(
                                id, 1, "g", "10.0.0.1:" + id, "a", 5, serverState, primary, 0)));
    }

    private void apply(DirectoryCommand command) {
        state = state.apply(command, ++index);
    }

    /**
     * Reports a silent primary from the first {@code lost} proxies, a healthy one from the others.
     */
    private void report(int lost, long silentMillis, boolean refused) {
        for (int i = 0; i < PROXIES; i++) {
            boolean silent = i < lost;
            failover.recordObservation(
                    "p" + i, "g", "s1", silent ? silentMillis * MILLI : 0, silent && refused, now);
        }
    }

    private void recordPosition(String server, Position position) {
        failover.recordStatus(
                state.servers().get(server).get(),
                new ServerStatus(false, position.term(), position, 0),
                now);
    }

    private List<FailoverAction> tick(long millis) {
        now += millis * MILLI;
        return failover.tick(state, now);
    }

    private static <T> List<T> ofType(List<FailoverAction> actions, Class<T> type) {
        List<T> matching = new ArrayList<>();
        actions.stream().filter(type::isInstance).forEach(a -> matching.add(type.cast(a)));
        return matching;
    }

    private FailoverAction.OrderPromotion orderAfterSurvey() {
        List<FailoverAction.OrderPromotion> orders =
                ofType(tick(20), FailoverAction.OrderPromotion.class);
        assertThat(orders).hasSize(1);
        return orders.get(0);
    }

    @Test
    void theMostAdvancedReplicaIsPromotedAfterAMajorityLostThePrimary() {
        setUp(0);
        report(4, 650, false);
        assertThat(ofType(tick(1), FailoverAction.Survey.class)).hasSize(2);
        recordPosition("s2", new Position(1, 90));
        recordPosition("s3", new Position(1, 95));
        assertThat(orderAfterSurvey().server()).isEqualTo("s3");
    }

    @Test
    void reportsOfAMinorityTriggerNoPromotion() {
        setUp(0);
        report(3, 5_000, true);
        for (int i = 0; i < 50; i++) {
            assertThat(tick(20)).isEmpty();
        }
    }

    @Test
    void reportsOfAMinorityPartitionedWithTheLeaderTriggerNoPromotion() {
        setUp(0);
        for (int i = 0; i < 100; i++) {
            failover.recordObservation("p0", "g", "s1", 650 * MILLI, true, now);
            failover.recordObservation("p1", "g", "s1", 650 * MILLI, true, now);
            failover.recordObservation("p2", "g", "s1", 650 * MILLI, true, now);
            assertThat(tick(100)).isEmpty();
        }
    }

    @Test
    void silenceBelowTheTimeoutTriggersNoPromotion() {
        setUp(0);
        for (int i = 0; i < 50; i++) {
            report(PROXIES, 150, false);
            assertThat(tick(500)).isEmpty();
        }
    }

    @Test
    void aPrimaryThatAnswersAgainDuringTheSurveyStaysInPlace() {
        setUp(0);
        report(PROXIES, 650, false);
        assertThat(ofType(tick(1), FailoverAction.Survey.class)).hasSize(2);
        report(0, 0, false);
        recordPosition("s2", new Position(1, 90));
        recordPosition("s3", new Position(1, 95));
        for (int i = 0; i < 50; i++) {
            assertThat(ofType(tick(20), FailoverAction.OrderPromotion.class)).isEmpty();
            report(0, 0, false);
        }
    }

    @Test
    void aPrimaryThatHasSteppedDownIsReplacedAlthoughItAnswersAgain() {
        setUp(0);
        report(PROXIES, 650, false);
        tick(1);
        report(0, 0, false);
        failover.recordStepDown("g", "s1", new Position(1, 95));
        recordPosition("s2", new Position(1, 90));
        recordPosition("s3", new Position(1, 95));
        assertThat(orderAfterSurvey().server()).isEqualTo("s3");
    }

    @Test
    void expiredReportsAreIgnored() {
        setUp(0);
        report(PROXIES, 5_000, true);
        now += 2_000 * MILLI;
        assertThat(failover.tick(state, now)).isEmpty();
    }

    @Test
    void theSurveyTimesOutIfAReplicaDoesNotAnswer() {
        setUp(0);
        report(PROXIES, 650, false);
        tick(1);
        recordPosition("s2", new Position(1, 90));
        assertThat(tick(100)).isEmpty();
        assertThat(ofType(tick(300), FailoverAction.OrderPromotion.class).get(0).server())
                .isEqualTo("s2");
    }

    @Test
    void withSynchronousReplicasEveryReplicaMustBeHeardAndStopped() {
        setUp(1);
        now += 1_000 * MILLI;
        report(PROXIES, 650, false);
        List<FailoverAction.Survey> surveys = ofType(tick(1), FailoverAction.Survey.class);
        assertThat(surveys).extracting(s -> s.server().id()).contains("s2", "s3");
        recordPosition("s2", new Position(1, 90));
        List<FailoverAction> after = tick(400);
        // The survey has disturbed nothing.
        assertThat(ofType(after, FailoverAction.OrderPromotion.class)).isEmpty();
        assertThat(ofType(after, FailoverAction.RecordSuspension.class)).isEmpty();

        report(PROXIES, 650, false);
        tick(1_000);
        recordPosition("s2", new Position(1, 90));
        recordPosition("s3", new Position(1, 90));
        assertThat(tick(20)).containsExactly(new FailoverAction.RecordSuspension("g", true));
        apply(new DirectoryCommand.RecordSuspension("g", true));
        List<FailoverAction.SuspendReplication> suspensions =
                ofType(tick(20), FailoverAction.SuspendReplication.class);
        assertThat(suspensions).extracting(s -> s.server().id()).containsExactly("s2", "s3");
        failover.recordStatus(
                state.servers().get("s2").get(),
                new ServerStatus(false, 1, new Position(1, 90), 2),
                now);
        List<FailoverAction> end = tick(400);
        assertThat(ofType(end, FailoverAction.OrderPromotion.class)).isEmpty();
        assertThat(ofType(end, FailoverAction.ResumeReplication.class))
                .extracting(r -> r.server().id())
                .contains("s2", "s3");
    }

    @Test
    void aLeavingPrimaryStepsDownAndAReplicaWithItsLastCommitFollows() {
        setUp(0);
        putServer("s1", ServerState.DRAINING, true);
        List<FailoverAction> initial = tick(1);
        assertThat(ofType(initial, FailoverAction.StepDown.class)).hasSize(1);
        recordPosition("s2", new Position(1, 99));
        recordPosition("s3", new Position(1, 98));
        failover.recordStepDown("g", "s1", new Position(1, 100));
        List<FailoverAction> next = tick(50);
        assertThat(ofType(next, FailoverAction.OrderPromotion.class)).isEmpty();
        assertThat(ofType(next, FailoverAction.Survey.class)).hasSize(2);
        recordPosition("s3", new Position(1, 100));
        assertThat(orderAfterSurvey().server()).isEqualTo("s3");
    }

    @Test
    void aCallWithoutAnAnswerIsRepeatedWithTheSameToken() {
        setUp(0);
        List<FailoverAction> first = failover.orderCommitted("g", "s2", 42, now);
        assertThat(first).containsExactly(new FailoverAction.CallPromotion("g", "s2", 42));
        failover.recordCallOutcome("g", 42, CallOutcome.UNKNOWN, now);
        assertThat(tick(300)).containsExactly(new FailoverAction.CallPromotion("g", "s2", 42));
    }

    @Test
    void aRejectedServerIsNotChosenAgainAndTheNextOrderHasAHigherToken() {
        setUp(0);
        failover.orderCommitted("g", "s2", 42, now);
        failover.recordCallOutcome("g", 42, CallOutcome.REJECTED, now);
        now += 300 * MILLI;
        report(PROXIES, 650, false);
        List<FailoverAction.Survey> surveys = ofType(tick(1), FailoverAction.Survey.class);
        assertThat(surveys).extracting(s -> s.server().id()).containsExactly("s3");
    }

    @Test
    void noPromotionIsOrderedWhileAnotherSettles() {
        setUp(0);
        failover.orderCommitted("g", "s2", 42, now);
        failover.recordCallOutcome("g", 42, CallOutcome.ACCEPTED, now);
        report(PROXIES, 5_000, true);
        assertThat(tick(600)).isEmpty();
    }

    @Test
    void aGroupWithoutAPrimaryWaitsForDelayedAnnouncements() {
        setUp(0);
        putServer("s1", ServerState.GONE, false);
        assertThat(tick(100)).isEmpty();
        assertThat(tick(2_000)).isEmpty();
        assertThat(ofType(tick(1_500), FailoverAction.Survey.class)).hasSize(2);
    }

    @Test
    void anOrderIsNotReplacedWhileItsCallsMayBeDelayed() {
        setUp(0);
        failover.orderCommitted("g", "s2", 42, now);
        for (int i = 0; i < 10; i++) {
            failover.recordCallOutcome("g", 42, CallOutcome.UNKNOWN, now);
            report(PROXIES, 5_000, true);
            assertThat(tick(800)).containsExactly(new FailoverAction.CallPromotion("g", "s2", 42));
        }
        report(0, 0, false);
        assertThat(tick(900)).isEmpty();
        assertThat(tick(900)).isEmpty();
    }

    @Test
    void rejectedServersAreRetriedWhenNoCandidateIsLeft() {
        setUp(0);
        for (String server : List.of("s2", "s3")) {
            failover.orderCommitted("g", server, 42, now);
            failover.recordCallOutcome("g", 42, CallOutcome.REJECTED, now);
            now += 300 * MILLI;
        }
        report(PROXIES, 5_000, true);
        List<FailoverAction> later = new ArrayList<>(tick(1));
        later.addAll(tick(1));
        assertThat(ofType(later, FailoverAction.Survey.class)).hasSize(2);
    }
}
