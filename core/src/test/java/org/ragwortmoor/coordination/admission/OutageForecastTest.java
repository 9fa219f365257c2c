package org.ragwortmoor.coordination.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests how long statements wait for a primary, and plays an outage to see what callers get. */
class OutageForecastTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long TIMEOUT = 720 * MILLI;
    private static final long TARGET = 200 * MILLI;
    private static final long LEASE = 3_000 * MILLI;
    private static final int CALLER_ATTEMPTS = 3;

    private static long waitMillis(long outageMillis, long leaseNanos) {
        return new OutageForecast(outageMillis * MILLI, leaseNanos).waitDeadline(0, TIMEOUT, TARGET)
                / MILLI;
    }

    @Test
    void statementsWaitDuringANormalFailover() {
        assertThat(waitMillis(0, 0)).isEqualTo(720);
        assertThat(waitMillis(1_000, 0)).isEqualTo(720);
        assertThat(waitMillis(1_000, LEASE)).isEqualTo(720);
    }

    @Test
    void statementsHardlyWaitOnceNoEndIsInSight() {
        assertThat(waitMillis(2_000, 0)).isEqualTo(40);
        assertThat(waitMillis(60_000, LEASE)).isEqualTo(40);
    }

    @Test
    void statementsWaitForTheEndOfTheLeasesIfTheyLastThatLong() {
        assertThat(waitMillis(2_500, LEASE)).isEqualTo(40);
        assertThat(waitMillis(3_400, LEASE)).isEqualTo(720);
        assertThat(waitMillis(3_950, LEASE)).isEqualTo(40);
    }

    @Test
    void theRetryDelayIsTheTimeThatIsLeftSpreadOverCallers() {
        OutageForecast forecast = new OutageForecast(500 * MILLI, 0);
        Set<Integer> delays = new HashSet<>();
        for (int i = 0; i <= 10; i++) {
            delays.add(forecast.retryAfterMillis(i / 10.0));
        }
        assertThat(delays).hasSize(11).allMatch(d -> d >= 1_300 && d <= 1_950);
        assertThat(new OutageForecast(0, 0).retryAfterMillis(0)).isEqualTo(150);
    }

    /** Returns how many of 200 callers are served that arrive while the primary is replaced. */
    private static int servedIn(long outageMillis, boolean forecastUsed) {
        int served = 0;
        for (int caller = 0; caller < 200; caller++) {
            long arrival = caller * outageMillis * MILLI / 200;
            served += served(arrival, outageMillis * MILLI, forecastUsed) ? 1 : 0;
        }
        return served;
    }

    /** Plays a caller that returns at once after each refusal. */
    private static boolean served(long arrival, long outageEnd, boolean forecastUsed) {
        long now = arrival;
        for (int attempt = 0; attempt < CALLER_ATTEMPTS; attempt++) {
            long waitUntil =
                    forecastUsed
                            ? new OutageForecast(now, LEASE)
                                    .waitDeadline(now, now + TIMEOUT, TARGET)
                            : now + (now < 1_800 * MILLI ? TIMEOUT : TARGET / 5);
            if (waitUntil - outageEnd >= 0) {
                return true;
            }
            now = waitUntil;
        }
        return false;
    }

    @Test
    void moreCallersAreServedWhenAPromotionWaitsForLeases() {
        int before = servedIn(3_700, false);
        int now = servedIn(3_700, true);
        assertThat(now).isGreaterThan(before + 20);
    }

    @Test
    void aNormalFailoverIsServedAsBefore() {
        assertThat(servedIn(1_600, true)).isEqualTo(servedIn(1_600, false));
    }
}
