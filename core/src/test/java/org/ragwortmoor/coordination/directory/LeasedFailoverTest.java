package org.ragwortmoor.coordination.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.DirectoryCommand;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.directory.FleetSize;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerState;
import org.ragwortmoor.state.routes.GroupLimits;
import org.ragwortmoor.state.routes.RouteTable;

/** Tests promotions on a platform where a replaced primary goes on. */
class LeasedFailoverTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long LEASE_MILLIS = 3_000;
    private static final long LEASE_WITH_DRIFT_MILLIS = 3_030;
    private static final int PROXIES = 4;

    private final PrimaryLeaseTable leases = new PrimaryLeaseTable(LEASE_MILLIS);
    private final FailoverCoordinator failover = new FailoverCoordinator(leases);
    private DirectoryState state = DirectoryState.EMPTY;
    private long index;
    private long reportId;
    private long now = 1_000 * MILLI;

    @BeforeEach
    void setUp() {
        apply(
                new DirectoryCommand.PutRoutes(
                        new RouteTable(1, List.of(), List.of(new GroupLimits("g", 16, 0)), 0, "")));
        putServer("s1", 1, ServerState.READY, true);
        putServer("s2", 1, ServerState.READY, false);
        putServer("s3", 1, ServerState.READY, false);
        apply(new DirectoryCommand.SetFleetSize(new FleetSize(PROXIES, 3)));
        failover.reset(now);
        // The leases of an earlier leader have ended.
        now += LEASE_WITH_DRIFT_MILLIS * MILLI;
        for (int i = 0; i < PROXIES; i++) {
            requestLease(i);
        }
    }

    private void putServer(String id, long startedAt, ServerState serverState, boolean primary) {
        apply(
                new DirectoryCommand.PutServer(
                        new ServerRecord(
                                id,
                                startedAt,
                                "g",
                                "10.0.0.1:" + id,
                                "a",
                                5,
                                serverState,
                                primary,
                                0)));
    }

    private void apply(DirectoryCommand command) {
        state = state.apply(command, ++index);
    }

    private void requestLease(int proxy) {
        record(proxy, true, true);
    }

    private void releaseLease(int proxy) {
        record(proxy, false, true);
    }

    private void record(int proxy, boolean held, boolean requested) {
        leases.recordReport(
                "p" + proxy,
                1,
                ++reportId,
                List.of(new PrimaryLeaseTable.LeaseStatement("g", held, requested)),
                now);
    }

    /** Reports that every proxy has lost the primary, or that every proxy reaches it. */
    private void observe(boolean lost) {
        for (int i = 0; i < PROXIES; i++) {
            failover.recordObservation("p" + i, "g", "s1", lost ? 650 * MILLI : 0, false, now);
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

    /** Loses the primary and answers the survey of the replicas. */
    private void losePrimary() {
        observe(true);
        List<FailoverAction> first = tick(1);
        assertThat(ofType(first, FailoverAction.AnnounceWithheldLeases.class)).hasSize(1);
        recordPosition("s2", new Position(1, 90));
        recordPosition("s3", new Position(1, 95));
    }

    /** Advances until a promotion is ordered; returns the milliseconds until then. */
    private long millisUntilOrder(int limitMillis) {
        for (int waited = 10; waited <= limitMillis; waited += 10) {
            List<FailoverAction> actions = tick(10);
            recordPosition("s2", new Position(1, 90));
            recordPosition("s3", new Position(1, 95));
            if (!ofType(actions, FailoverAction.OrderPromotion.class).isEmpty()) {
                return waited;
            }
        }
        return -1;
    }

    @Test
    void aPromotionWaitsUntilTheLeaseOfAnUnreachableProxyHasEnded() {
        losePrimary();
        for (int i = 1; i < PROXIES; i++) {
            releaseLease(i);
        }
        assertThat(millisUntilOrder(10_000))
                .isBetween(LEASE_WITH_DRIFT_MILLIS - 20, LEASE_WITH_DRIFT_MILLIS + 20);
    }

    @Test
    void aPromotionFollowsAtOnceIfEveryProxyHasReleasedItsLease() {
        losePrimary();
        for (int i = 0; i < PROXIES; i++) {
            releaseLease(i);
        }
        assertThat(millisUntilOrder(10_000)).isEqualTo(10);
    }

    @Test
    void aPromotionFollowsAtOnceIfThePrimaryHasSteppedDown() {
        losePrimary();
        failover.recordStepDown("g", "s1", new Position(1, 95));
        assertThat(millisUntilOrder(10_000)).isEqualTo(10);
    }

    @Test
    void theStepDownOfAPrimaryThatHasRestartedSinceEndsNoWait() {
        losePrimary();
        failover.recordStepDown("g", "s1", new Position(1, 95));
        putServer("s1", 2, ServerState.READY, false);
        assertThat(millisUntilOrder(2_000)).isEqualTo(-1);
    }

    @Test
    void noLeaseIsGrantedFromTheDecisionUntilThePromotionIsConfirmed() {
        losePrimary();
        for (int i = 0; i < PROXIES; i++) {
            releaseLease(i);
        }
        requestLease(0);
        assertThat(leases.withheld()).containsExactly("g");
        assertThat(leases.outstanding("g", now)).isFalse();
        assertThat(millisUntilOrder(1_000)).isPositive();
        apply(new DirectoryCommand.OrderPromotion("g", "s3", "me"));
        long token = index;
        failover.orderCommitted("g", "s3", token, now);
        failover.recordCallOutcome("g", token, CallOutcome.UNKNOWN, now);
        tick(10);
        assertThat(leases.withheld()).containsExactly("g");
        List<FailoverAction> confirmed =
                failover.recordCallOutcome("g", token, CallOutcome.ACCEPTED, now);
        assertThat(confirmed).containsExactly(new FailoverAction.ConfirmPromotion("g", token));
        assertThat(leases.withheld()).isEmpty();
    }

    @Test
    void aPrimaryThatAnswersAgainDuringTheWaitStaysInPlace() {
        losePrimary();
        tick(500);
        observe(false);
        assertThat(tick(10)).isEmpty();
        assertThat(millisUntilOrder(5_000)).isEqualTo(-1);
        assertThat(leases.withheld()).isEmpty();
    }

    @Test
    void aNewLeaderWaitsForLeasesThatItDoesNotKnow() {
        failover.reset(now);
        observe(true);
        now += 700 * MILLI;
        losePrimary();
        for (int i = 0; i < PROXIES; i++) {
            releaseLease(i);
        }
        long remaining = LEASE_WITH_DRIFT_MILLIS - 701;
        assertThat(millisUntilOrder(10_000)).isBetween(remaining - 20, remaining + 20);
    }

    @Test
    void aNewLeaderRepeatsAPromotionThatIsNotConfirmedWithATokenOfItsOwn() {
        apply(new DirectoryCommand.OrderPromotion("g", "s3", "predecessor"));
        failover.reset(now);
        // A call of the predecessor could still arrive.
        assertThat(tick(500)).isEmpty();
        List<FailoverAction.OrderPromotion> orders =
                ofType(tick(200), FailoverAction.OrderPromotion.class);
        assertThat(orders).extracting(FailoverAction.OrderPromotion::server).containsExactly("s3");
        assertThat(leases.withheld()).containsExactly("g");
    }

    @Test
    void anotherServerIsNotPromotedWhileAnUnansweredCallMayBeCarriedOut() {
        failover.orderCommitted("g", "s3", 42, now);
        failover.recordCallOutcome("g", 42, CallOutcome.UNKNOWN, now);
        tick(300);
        failover.recordCallOutcome("g", 42, CallOutcome.REJECTED, now);
        apply(new DirectoryCommand.OrderPromotion("g", "s3", "me"));
        tick(300);
        recordPosition("s2", new Position(1, 90));
        failover.recordStepDown("g", "s3", new Position(1, 90));
        long waited = 0;
        while (waited < 20_000 && ofType(tick(10), FailoverAction.OrderPromotion.class).isEmpty()) {
            recordPosition("s2", new Position(1, 90));
            waited += 10;
        }
        assertThat(waited).isBetween(11_000L, 12_000L);
    }

    @Test
    void callsAreRepeatedUntilThePlatformAnswers() {
        failover.orderCommitted("g", "s3", 42, now);
        for (int i = 0; i < 40; i++) {
            failover.recordCallOutcome("g", 42, CallOutcome.UNKNOWN, now);
            observe(false);
            assertThat(tick(800)).containsExactly(new FailoverAction.CallPromotion("g", "s3", 42));
        }
    }

    @Test
    void aReplacedPrimaryThatAnnouncesItselfIsNotUsedAgain() {
        apply(new DirectoryCommand.OrderPromotion("g", "s3", "me"));
        apply(new DirectoryCommand.ConfirmPromotion("g", index));
        putServer("s1", 1, ServerState.READY, true);
        putServer("s3", 1, ServerState.GONE, true);
        assertThat(state.primary("g")).isEmpty();
        failover.reset(now);
        now += LEASE_WITH_DRIFT_MILLIS * MILLI;
        assertThat(ofType(tick(1), FailoverAction.Survey.class)).hasSize(2);
    }
}
