package org.ragwortmoor.coordination.quota;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.ragwortmoor.coordination.quota.QuotaSimulation.Faults;
import org.ragwortmoor.state.workspace.RateLimit;

/**
 * Guards against windows with more operations than the quota permits, whatever fails. The bound is
 * the number of tokens, which is below that of the requirement.
 */
class QuotaBoundTest {
    private static final String SEED = "5830127744901263";
    private static final int TRIES = 300;
    private static final QuotaSettings SETTINGS = new QuotaSettings(5, 0.1, 20);
    private static final long MILLISECOND = 1_000_000;

    private final QuotaSettings settings = SETTINGS;

    private static Faults faults(long seed) {
        return switch ((int) Math.floorMod(seed, 3)) {
            case 0 -> new Faults(0, 0, 5 * MILLISECOND);
            case 1 -> new Faults(0.1, 0.1, 400 * MILLISECOND);
            default -> new Faults(0.3, 0.2, 3_000 * MILLISECOND);
        };
    }

    @Property(seed = SEED, tries = TRIES)
    void noWindowContainsMoreOperationsThanThereAreTokens(@ForAll long seed) {
        QuotaSimulation simulation = new QuotaSimulation(seed, settings, faults(seed));
        RateLimit fixed = new RateLimit(1 + simulation.random().nextInt(30), 3);
        QuotaChaos chaos = new QuotaChaos(simulation, fixed, new RateLimit(40, 20), seed % 2 == 0);
        simulation.elect();
        int proxies = 2 + simulation.random().nextInt(6);
        for (int i = 0; i < proxies; i++) {
            chaos.addProxy();
        }
        long wait = 250 * MILLISECOND;
        double peak = 20 + simulation.random().nextInt(150);
        // The demand moves between little, so that tokens are returned, and too much.
        simulation.addDemand(
                QuotaChaos.FIXED, t -> t / (7_000 * MILLISECOND) % 3 == 0 ? 1 : peak, wait);
        simulation.addDemand(
                QuotaChaos.CHANGING, t -> t / (5_000 * MILLISECOND) % 4 == 0 ? 0 : peak, wait);
        chaos.run(QuotaSimulation.seconds(70), true);
        RateLimit last = new RateLimit(simulation.random().nextInt(10), 2);
        chaos.changeLimit(last);
        while (!appliedEverywhere(simulation)) {
            simulation.runUntil(simulation.time() + 10 * MILLISECOND);
        }
        long applied = simulation.time();
        chaos.run(applied + QuotaSimulation.seconds(40), false);

        assertThat(simulation.checker().largestWindow(QuotaChaos.FIXED, 0))
                .isLessThanOrEqualTo((int) settings.tokens(fixed));
        long largest = chaos.limits().stream().mapToLong(settings::tokens).max().orElseThrow();
        assertThat(simulation.checker().largestWindow(QuotaChaos.CHANGING, 0))
                .isLessThanOrEqualTo((int) largest);
        long windowAfter = applied + settings.windowNanos();
        assertThat(simulation.checker().largestWindow(QuotaChaos.CHANGING, windowAfter))
                .isLessThanOrEqualTo((int) settings.tokens(last));
    }

    private static boolean appliedEverywhere(QuotaSimulation simulation) {
        long revision = simulation.routesRevision();
        return simulation.leader().routesRevision() == revision
                && simulation.proxies().stream().allMatch(p -> p.routesRevision() == revision);
    }
}
