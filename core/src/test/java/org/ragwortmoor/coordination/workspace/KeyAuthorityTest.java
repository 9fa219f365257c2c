package org.ragwortmoor.coordination.workspace;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards against keys that stay in use longer than the limit after their removal was acknowledged,
 * and against refusals while the directory answers.
 */
class KeyAuthorityTest {
    private static final long LIMIT_MILLIS = 5_000;
    private static final long OFFSET = 1_700_000_000_000L;
    private static final int REPORT_MILLIS = 500;

    private final KeyAuthority authority = new KeyAuthority();
    private final ReportConfirmation leader = new ReportConfirmation();
    private long nextId = 40;

    KeyAuthorityTest() {
        authority.setLimit(LIMIT_MILLIS);
    }

    private static long at(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Sends a report, which arrives 2 ms later, and returns its number. */
    private long report(long millis) {
        authority.reportSent(++nextId, at(millis), OFFSET);
        leader.recordArrival(7, nextId, at(millis + 2));
        return nextId;
    }

    private boolean permits(long millis) {
        return authority.permits(at(millis), OFFSET);
    }

    @Test
    void regularReportsKeepTheKeysConfirmed() {
        report(0);
        for (long now = REPORT_MILLIS; now < 20_000; now += REPORT_MILLIS) {
            report(now);
            authority.reportConfirmed(leader.newestConfirmed(at(now - 80)));
            assertThat(permits(now + 3)).isTrue();
        }
        // The last confirmed report was sent at 19,000 ms.
        assertThat(permits(19_000 + 4_899)).isTrue();
        assertThat(permits(19_000 + 4_900)).isFalse();
    }

    @Test
    void lostAnswersAreMadeUpForByTheNext() {
        report(0);
        report(500);
        long newest = report(1_000);
        authority.reportConfirmed(leader.newestConfirmed(at(1_400)));
        assertThat(leader.newestConfirmed(at(1_400))).isEqualTo(newest);
        assertThat(permits(1_000 + 4_899)).isTrue();
    }

    @Test
    void answersThatArriveLateOrTwiceExtendNothing() {
        long first = report(0);
        long second = report(500);
        authority.reportConfirmed(second);
        authority.reportConfirmed(first);
        authority.reportConfirmed(second);
        assertThat(permits(500 + 4_899)).isTrue();
        assertThat(permits(500 + 4_900)).isFalse();
    }

    @Test
    void suspensionVoidsEarlierReportsAlsoIfTheyAreConfirmedLater() {
        long before = report(0);
        long inFlight = report(500);
        authority.reportConfirmed(before);
        long resumed = OFFSET + 60;
        assertThat(authority.permits(at(510), OFFSET + 59)).isTrue();
        assertThat(authority.permits(at(510), resumed)).isFalse();
        authority.reportConfirmed(inFlight);
        assertThat(authority.permits(at(520), resumed)).isFalse();
        authority.reportSent(900, at(530), resumed);
        authority.reportConfirmed(900);
        assertThat(authority.permits(at(540), resumed)).isTrue();
    }

    @Test
    void deposedLeaderConfirmsNothingThatArrivedAfterItsLastContact() {
        report(0);
        report(500);
        for (long now = 1_000; now < 10_000; now += REPORT_MILLIS) {
            report(now);
            authority.reportConfirmed(leader.newestConfirmed(at(300)));
        }
        assertThat(permits(4_899)).isTrue();
        assertThat(permits(4_900)).isFalse();
    }

    @Test
    void changeOfTheLeaderWithinTheLimitIsNotNoticed() {
        authority.reportConfirmed(report(0));
        ReportConfirmation successor = new ReportConfirmation();
        for (long now = 600; now < 4_000; now += REPORT_MILLIS) {
            authority.reportSent(++nextId, at(now), OFFSET);
            successor.recordArrival(7, nextId, at(now));
            // Elected at 2,000 ms.
            authority.reportConfirmed(now < 2_000 ? 0 : successor.newestConfirmed(at(now - 80)));
            assertThat(permits(now + 400)).isTrue();
        }
    }

    @Test
    void restartedProxyIsNotConfirmedByAnswersToItsFormerProcess() {
        long former = report(0);
        KeyAuthority restarted = new KeyAuthority();
        restarted.setLimit(LIMIT_MILLIS);
        restarted.reportSent(former + 1_000_000, at(400), OFFSET);
        restarted.reportConfirmed(former);
        assertThat(restarted.permits(at(401), OFFSET)).isFalse();
        leader.recordArrival(8, former + 1_000_000, at(401));
        assertThat(leader.newestConfirmed(at(300))).isZero();
    }

    @Test
    void withoutALimitKnownKeysStayAndUnknownOnesAreNotRefusedForGood() {
        authority.setLimit(0);
        assertThat(permits(1)).isTrue();
        assertThat(authority.current(at(1), OFFSET)).isFalse();
        authority.reportConfirmed(report(0));
        assertThat(authority.current(at(4_899), OFFSET)).isTrue();
        assertThat(authority.current(at(4_900), OFFSET)).isFalse();
        assertThat(permits(1_000_000)).isTrue();
    }
}
