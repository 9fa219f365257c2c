package org.ragwortmoor.coordination.quota;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a checker that overlooks windows with too many operations. */
class WindowCheckerTest {
    private static final long WINDOW = 5_000;

    private final WindowChecker checker = new WindowChecker(WINDOW);

    private void record(long... times) {
        for (long time : times) {
            checker.record("w", time);
        }
    }

    @Test
    void countsOperationsThatAreLessThanAWindowApart() {
        record(0, 4_999, 9_998);
        assertThat(checker.largestWindow("w", 0)).isEqualTo(2);
    }

    @Test
    void anOperationAtTheEndOfAWindowIsNotInIt() {
        record(0, 5_000, 10_000);
        assertThat(checker.largestWindow("w", 0)).isEqualTo(1);
    }

    /** Windows that begin at multiples of their length would contain two operations at most. */
    @Test
    void findsAWindowAcrossTwoFixedOnes() {
        record(3_000, 4_000, 6_000, 7_000);
        assertThat(checker.largestWindow("w", 0)).isEqualTo(4);
    }

    @Test
    void findsTheLargestWindowAmongMany() {
        record(0, 1, 20_000, 20_001, 20_002, 40_000);
        assertThat(checker.largestWindow("w", 0)).isEqualTo(3);
    }

    @Test
    void ordersOperationsOfDifferentProxies() {
        record(7_000, 100, 6_900, 200, 6_800);
        assertThat(checker.largestWindow("w", 0)).isEqualTo(3);
    }

    @Test
    void ignoresWindowsThatBeginEarlier() {
        record(0, 1, 2, 3, 4, 4_600, 4_601);
        assertThat(checker.largestWindow("w", 4)).isEqualTo(3);
        assertThat(checker.largestWindow("w", 5)).isEqualTo(2);
    }

    @Test
    void workspacesAreCountedApart() {
        record(0, 1);
        checker.record("v", 2);
        assertThat(checker.largestWindow("w", 0)).isEqualTo(2);
        assertThat(checker.largestWindow("v", 0)).isEqualTo(1);
        assertThat(checker.largestWindow("u", 0)).isZero();
    }
}
