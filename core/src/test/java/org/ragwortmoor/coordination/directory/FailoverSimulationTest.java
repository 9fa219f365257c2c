package org.ragwortmoor.coordination.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards the commits that a group with synchronous replicas has acknowledged, and the end of every
 * outage, over random interleavings of crashes, restarts, planned leaves, deaf replicas,
 * partitions, lost and late calls of the platform, and changes of the directory's leader.
 */
class FailoverSimulationTest {
    /** Runs per block; more by hand with {@code -Dsimulation.runs}. */
    private static final int RUNS_PER_BLOCK = Integer.getInteger("simulation.runs", 40);

    private static final int FAULT_MILLIS = 30_000;

    /** A late call may be carried out up to 12 s after it was made; then recovery takes 12 s. */
    private static final int RECOVERY_MILLIS = 24_000;

    private static final int SERVING_MILLIS = 1_000;

    private static String play(long seed, int servers, int syncReplicas, boolean syncChanges) {
        SplittableRandom random = new SplittableRandom(seed);
        FailoverSimulation simulation = new FailoverSimulation(seed, servers, syncReplicas);
        FailoverFaults faults = new FailoverFaults(simulation, random, syncChanges);
        simulation.run(2_000);
        long end = simulation.nowMillis() + FAULT_MILLIS;
        while (simulation.nowMillis() < end) {
            simulation.run(random.nextInt(50, 3_000));
            faults.inject();
        }
        faults.heal();
        simulation.run(RECOVERY_MILLIS);
        int before = simulation.servers().acknowledgements();
        simulation.run(SERVING_MILLIS);
        if (!simulation.servers().violations().isEmpty()) {
            return simulation.servers().violations() + "\n" + simulation.describe();
        }
        return simulation.servers().acknowledgements() > before
                ? ""
                : "no write is acknowledged\n" + simulation.describe();
    }

    @ParameterizedTest
    @CsvSource({
        "10000, 3, 1, false",
        "20000, 3, 1, true",
        "30000, 3, 0, false",
        "40000, 5, 1, false",
        "50000, 5, 2, false"
    })
    void noAcknowledgedCommitIsLostAndWritesReturn(
            long firstSeed, int servers, int syncReplicas, boolean syncChanges) {
        for (long seed = firstSeed; seed < firstSeed + RUNS_PER_BLOCK; seed++) {
            assertThat(play(seed, servers, syncReplicas, syncChanges))
                    .as("seed %s", seed)
                    .isEmpty();
        }
    }
}
