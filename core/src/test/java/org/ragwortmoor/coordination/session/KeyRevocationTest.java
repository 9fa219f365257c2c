package org.ragwortmoor.coordination.session;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that run with a withdrawn key: none may that was sent later than the
 * limit after the withdrawal was acknowledged, and callers with valid keys are served again once
 * the faults have ended.
 */
class KeyRevocationTest {
    private static final int RUNS_PER_BLOCK = 10;
    private static final long RUN_MILLIS = 40_000;

    /** Longer than the longest fault. */
    private static final long SETTLE_MILLIS = 10_000;

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3})
    void noRequestRunsLaterThanTheLimitAfterItsKeyWasWithdrawn(int block) {
        for (int run = 0; run < RUNS_PER_BLOCK; run++) {
            long seed = block * 1_000L + run;
            KeyRevocationSimulation simulation = new KeyRevocationSimulation(seed);
            simulation.advance(RUN_MILLIS);
            simulation.endFaults();
            assertThat(simulation.advance(SETTLE_MILLIS)).as("seed " + seed).isEmpty();
            assertThat(simulation.history().executedCount()).as("seed " + seed).isGreaterThan(300);
            assertThat(simulation.history().lateRefusals()).as("seed " + seed).isPositive();
            assertThat(simulation.unservedWithin(5_000)).as("seed " + seed).isEmpty();
        }
    }
}
