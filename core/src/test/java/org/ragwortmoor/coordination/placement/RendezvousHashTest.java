package org.ragwortmoor.coordination.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;

/** Tests that keys are spread by weight and that few of them move when members change. */
class RendezvousHashTest {
    private static final int KEYS = 20_000;

    private static Map<String, Double> members(int count) {
        Map<String, Double> members = new HashMap<>();
        for (int i = 0; i < count; i++) {
            members.put("edge-" + i, 1.0);
        }
        return members;
    }

    private static String first(int key, Map<String, Double> members) {
        return RendezvousHash.rank("group" + key, members).get(0);
    }

    @Test
    void onlyTheKeysOfAMemberThatLeavesMove() {
        Map<String, Double> before = members(19);
        Map<String, Double> after = members(19);
        after.remove("edge-7");
        for (int key = 0; key < 2_000; key++) {
            String holder = first(key, before);
            if (!holder.equals("edge-7")) {
                assertThat(first(key, after)).isEqualTo(holder);
            }
        }
    }

    @Test
    void theSecondMemberReplacesTheFirst() {
        Map<String, Double> before = members(19);
        for (int key = 0; key < 500; key++) {
            String substitute = RendezvousHash.rank("group" + key, before).get(1);
            Map<String, Double> after = members(19);
            after.remove(first(key, before));
            assertThat(first(key, after)).isEqualTo(substitute);
        }
    }

    @Test
    void keysAreSpreadInProportionToTheWeights() {
        Map<String, Double> members = members(3);
        members.put("edge-0", 2.0);
        Map<String, Integer> counts = new HashMap<>();
        for (int key = 0; key < KEYS; key++) {
            counts.merge(first(key, members), 1, Integer::sum);
        }
        assertThat(counts.get("edge-0") / (double) KEYS).isCloseTo(0.5, Offset.offset(0.02));
        assertThat(counts.get("edge-1") / (double) KEYS).isCloseTo(0.25, Offset.offset(0.02));
    }

    @Test
    void membersWithoutWeightAreLeftOut() {
        Map<String, Double> members = members(2);
        members.put("edge-0", 0.0);
        assertThat(RendezvousHash.rank("g", members)).containsExactly("edge-1");
    }
}
