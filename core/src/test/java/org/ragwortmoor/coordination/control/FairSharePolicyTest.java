package org.ragwortmoor.coordination.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortmoor.coordination.control.SharePolicy.Demand;

/** Tests that callers of one proxy do not wait longer than callers of another. */
class FairSharePolicyTest {
    private final FairSharePolicy policy = new FairSharePolicy();

    private static SortedMap<String, Demand> demands(int floor, int... units) {
        SortedMap<String, Demand> demands = new TreeMap<>();
        for (int i = 0; i < units.length; i++) {
            demands.put("p" + i, new Demand(floor, units[i]));
        }
        return demands;
    }

    @ParameterizedTest
    @CsvSource({
        // capacity, demands of three proxies, shares
        "30, 3, 3, 3, 10, 10, 10",
        "30, 40, 1, 1, 28, 1, 1",
        "30, 60, 30, 0, 19, 10, 1",
        "30, 30, 30, 30, 10, 10, 10",
        "4, 30, 30, 30, 2, 1, 1",
    })
    void sharesAreInProportionToDemandAboveTheFloor(
            int capacity, int a, int b, int c, int x, int y, int z) {
        Map<String, Integer> shares = policy.allocate(capacity, demands(1, a, b, c), 0);
        assertThat(shares)
                .containsExactly(Map.entry("p0", x), Map.entry("p1", y), Map.entry("p2", z));
    }

    /** Without rotation the proxies that are last in order would never get a connection. */
    @Test
    void unitsRotateIfThereAreMoreProxiesThanUnits() {
        int[] demands = new int[10];
        java.util.Arrays.fill(demands, 4);
        Map<String, Integer> total = new TreeMap<>();
        for (long round = 0; round < 10; round++) {
            Map<String, Integer> shares = policy.allocate(3, demands(0, demands), round);
            assertThat(shares.values().stream().mapToInt(Integer::intValue).sum()).isEqualTo(3);
            assertThat(shares.values()).allMatch(s -> s <= 1);
            shares.forEach((proxy, share) -> total.merge(proxy, share, Integer::sum));
        }
        assertThat(total.values()).containsOnly(3);
    }

    @Test
    void theEqualSharePolicyIgnoresDemand() {
        assertThat(new EqualSharePolicy().allocate(30, demands(1, 40, 1, 1), 0).values())
                .containsOnly(10);
    }
}
