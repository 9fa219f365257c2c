package org.ragwortmoor.coordination.placement;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Tests that the shares of all proxies fit into the connections that a server accepts. */
class ConnectionPlanTest {
    private static final int RESERVED = 3;

    @Test
    void aSmallFleetConnectsDirectly() {
        ConnectionPlan plan = ConnectionPlan.of(33, 7, 3);
        assertThat(plan.direct()).isTrue();
        assertThat(plan.guaranteed()).isEqualTo(4);
        assertThat(plan.retained()).isEqualTo(2);
        assertThat(plan.observers(7, 3)).isEqualTo(7);
    }

    @Test
    void aFleetWithMoreProxiesThanConnectionsUsesOneHolderPerDomain() {
        ConnectionPlan plan = ConnectionPlan.of(72, 95, 5);
        assertThat(plan.direct()).isFalse();
        assertThat(plan.holdersPerDomain()).isEqualTo(1);
        assertThat(plan.observers(95, 5)).isEqualTo(5);
    }

    @Test
    void manyConnectionsAreDividedAmongSeveralHolders() {
        ConnectionPlan plan = ConnectionPlan.of(110, 78, 5);
        assertThat(plan.holdersPerDomain()).isEqualTo(3);
    }

    @Test
    void nothingIsKeptOpenWhileTheFleetIsUnknown() {
        ConnectionPlan plan = ConnectionPlan.of(72, 0, 0);
        assertThat(plan.direct()).isFalse();
        assertThat(plan.retained()).isZero();
    }

    @Property(seed = "4711")
    void theSharesFitIntoTheConnections(
            @ForAll @IntRange(min = 4, max = 400) int maxConnections,
            @ForAll @IntRange(min = 1, max = 3_000) int proxies,
            @ForAll @IntRange(min = 1, max = 23) int domains) {
        ConnectionPlan plan = ConnectionPlan.of(maxConnections, proxies, domains);
        int shareable = maxConnections - RESERVED;
        if (plan.direct()) {
            // With fewer proxies than domains some domains have none, and each proxy has its own.
            assertThat((long) plan.guaranteed() * proxies)
                    .isLessThanOrEqualTo(Math.max(shareable, proxies));
            return;
        }
        if (shareable >= 2 * domains) {
            int replaced = plan.holdersPerDomain() + 1;
            assertThat(domains * replaced * plan.guaranteed()).isLessThanOrEqualTo(shareable);
            assertThat(domains * plan.holdersPerDomain() * plan.maximum())
                    .isLessThanOrEqualTo(shareable);
        }
        assertThat(plan.guaranteed()).isPositive();
        assertThat(plan.retained()).isBetween(1, plan.guaranteed());
    }
}
