package org.ragwortmoor.coordination.engine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortmoor.state.EndpointInfo;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.TermHistory;

/**
 * Tests the limits of one endpoint without a lease, and the status of an endpoint that lost its
 * data.
 */
class MemberTest {
    private static final long INCARNATION = 7;

    private static Member member(int slots) {
        EndpointInfo info =
                new EndpointInfo("e", INCARNATION, "127.0.0.1:1", "d", slots, 30, false);
        return new Member(info, new FixedLimiter(4), 0);
    }

    private static EndpointStatus status(int running, int queued, long incarnation) {
        return new EndpointStatus(
                1, true, Position.ZERO, TermHistory.EMPTY, running, queued, 1, false, incarnation);
    }

    /** Long work must not stop while no control process can be reached. */
    @ParameterizedTest
    @CsvSource({
        // slots, running, queued, admitted
        "5, 0, 0, true",
        "5, 3, 0, true",
        "5, 4, 0, false",
        "5, 3, 1, false",
        "2, 0, 0, true",
        "2, 1, 0, false",
        "1, 0, 0, true",
        "1, 1, 0, false",
    })
    void longWorkWithoutLeaseNeedsASlotBesideOneForShortWork(
            int slots, int running, int queued, boolean admitted) {
        Member member = member(slots);
        member.updateStatus(status(running, queued, INCARNATION), 1);
        assertThat(member.admits(WorkClass.LONG, 0)).isEqualTo(admitted);
    }

    @Test
    void withoutLeaseOneLongStatementAtATime() {
        Member member = member(5);
        member.updateStatus(status(0, 0, INCARNATION), 1);
        member.statementStarted(WorkClass.LONG);
        assertThat(member.admits(WorkClass.LONG, 0)).isFalse();
    }

    @Test
    void withoutLeaseAndStatusNoLongWork() {
        assertThat(member(5).admits(WorkClass.LONG, 0)).isFalse();
    }

    @Test
    void aLeaseWithoutPermitsAdmitsNoLongWork() {
        Member member = member(5);
        member.updateStatus(status(0, 0, INCARNATION), 1);
        member.share().applyLease(new EngineEvent.ShareLeased("e", 1, 4, 0, 100));
        assertThat(member.admits(WorkClass.LONG, 50)).isFalse();
        assertThat(member.admits(WorkClass.LONG, 100)).isTrue();
    }

    /** A proxy must not use a floor that the control group has not granted. */
    @Test
    void aProxyWithoutFloorHasNoConnectionsAfterItsLease() {
        Member member = member(5);
        assertThat(member.share().connections(0)).isZero();
        member.share().applyLease(new EngineEvent.ShareLeased("e", 0, 3, 0, 100));
        assertThat(member.share().connections(50)).isEqualTo(3);
        assertThat(member.share().connections(100)).isZero();
    }

    /**
     * An endpoint that lost its log and is copying it again must not count as holding positions.
     */
    @Test
    void statusOfAnotherIncarnationIsIgnored() {
        Member member = member(5);
        member.updateStatus(status(0, 0, INCARNATION + 1), 1);
        assertThat(member.status()).isNull();
        member.updateStatus(status(0, 0, 0), 2);
        assertThat(member.status()).isNotNull();
    }
}
