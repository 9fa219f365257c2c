package org.ragwortmoor.coordination.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.TermHistory;

/**
 * Tests that the selection of a primary loses no acknowledged write, and the backoff between
 * promotions.
 */
class PrimarySelectorTest {
    private static GroupState group() {
        ControlState state = ControlState.EMPTY;
        state = state.apply(new ControlCommand.RegisterGroup("fleet", 3))._1;
        String[] domains = {"Colina", "Pirque", "Lampa"};
        for (int i = 0; i < 3; i++) {
            SimulatedEndpoint endpoint =
                    new SimulatedEndpoint("fleet", "abc".substring(i, i + 1), domains[i]);
            state =
                    state.apply(
                                    new ControlCommand.RegisterEndpoint(
                                            "fleet", endpoint.announcement(3).info()))
                            ._1;
        }
        return state.groups().get("fleet").get();
    }

    @ParameterizedTest
    @CsvSource(
            nullValues = "-",
            value = {
                // promises (endpoint=term:index), avoided, reporters, selected
                "a=1:9, -, -, -",
                "a=1:9 b=1:8, -, -, a",
                // A higher term wins over a longer log of a lower term.
                "a=1:9 b=2:5, -, -, b",
                "a=1:9 b=1:9, -, Pirque=2 Colina=1, b",
                "a=1:9 b=1:9, -, -, a",
                // An avoided endpoint is excluded while the others are a majority.
                "a=1:9 b=1:8 c=1:7, a, -, b",
                "a=1:9 b=1:8, a, -, a",
                "a=1:9 b=1:9, a, -, b",
            })
    void theLargestLogEndAmongAMajorityIsSelected(
            String promises, String avoided, String reporters, String expected) {
        Map<String, EndpointStatus> statuses = new TreeMap<>();
        for (String promise : promises.split(" ")) {
            String[] parts = promise.split("[=:]");
            Position last = new Position(Long.parseLong(parts[1]), Long.parseLong(parts[2]));
            statuses.put(
                    parts[0],
                    new EndpointStatus(3, false, last, TermHistory.EMPTY, 0, 0, 0, false));
        }
        Map<String, Integer> counts = new TreeMap<>();
        if (reporters != null) {
            Arrays.stream(reporters.split(" "))
                    .map(r -> r.split("="))
                    .forEach(r -> counts.put(r[0], Integer.valueOf(r[1])));
        }
        Set<String> avoid = avoided == null ? Set.of() : new TreeSet<>(Set.of(avoided));
        assertThat(PrimarySelector.select(group(), statuses, avoid, counts).getOrNull())
                .isEqualTo(expected);
    }

    /**
     * Without a backoff, a group whose endpoints fail one after another would change its primary
     * continuously.
     */
    @Test
    void successivePromotionsAreDelayedExponentially() {
        long second = 1_000_000_000L;
        PromotionBackoff backoff = new PromotionBackoff();
        assertThat(backoff.earliestStart(false, 5)).isEqualTo(5);
        long now = 0;
        for (long wait : new long[] {1, 2, 4, 8, 8}) {
            backoff.completed(now);
            assertThat(backoff.earliestStart(false, now)).isEqualTo(now + wait * second);
            assertThat(backoff.earliestStart(true, now)).isEqualTo(now + second);
            now += second;
        }
        assertThat(backoff.earliestStart(false, now + 70 * second)).isEqualTo(now + 70 * second);
    }
}
