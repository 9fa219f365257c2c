package org.ragwortmoor.coordination.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortmoor.coordination.control.ShareRule.Need;

/** Guards callers behind one proxy against waiting longer than callers behind another. */
class FairSharesTest {
    private final FairShares rule = new FairShares();

    private static SortedMap<String, Need> needs(int floor, int... demands) {
        SortedMap<String, Need> needs = new TreeMap<>();
        for (int i = 0; i < demands.length; i++) {
            needs.put("p" + i, new Need(floor, demands[i]));
        }
        return needs;
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
        Map<String, Integer> shares = rule.divide(capacity, needs(1, a, b, c), 0);
        assertThat(shares)
                .containsExactly(Map.entry("p0", x), Map.entry("p1", y), Map.entry("p2", z));
    }

    /** Without turns the proxies last in order would never get a connection. */
    @Test
    void moreProxiesThanUnitsTakeTurns() {
        int[] demands = new int[10];
        java.util.Arrays.fill(demands, 4);
        Map<String, Integer> total = new TreeMap<>();
        for (long turn = 0; turn < 10; turn++) {
            Map<String, Integer> shares = rule.divide(3, needs(0, demands), turn);
            assertThat(shares.values().stream().mapToInt(Integer::intValue).sum()).isEqualTo(3);
            assertThat(shares.values()).allMatch(s -> s <= 1);
            shares.forEach((proxy, share) -> total.merge(proxy, share, Integer::sum));
        }
        assertThat(total.values()).containsOnly(3);
    }

    @Test
    void theBaselineIgnoresDemand() {
        assertThat(new FixedShares().divide(30, needs(1, 40, 1, 1), 0).values()).containsOnly(10);
    }
}
