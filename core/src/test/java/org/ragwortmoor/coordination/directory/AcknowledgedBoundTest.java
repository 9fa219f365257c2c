package org.ragwortmoor.coordination.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortmoor.state.Position;

/** The position that includes every acknowledged commit. */
class AcknowledgedBoundTest {
    private static Position at(long index) {
        return new Position(1, index);
    }

    private static Option<Position> bound(int holders, int syncReplicas, long... indexes) {
        List<Position> positions = new ArrayList<>();
        for (long index : indexes) {
            positions.add(at(index));
        }
        return AcknowledgedBound.of(positions, holders, syncReplicas, Option.none());
    }

    @Test
    void withoutSynchronousReplicasNothingIsRequired() {
        assertThat(bound(3, 0)).containsExactly(Position.ZERO);
    }

    @Test
    void tooFewAnswersGiveNoBound() {
        assertThat(bound(3, 1, 90)).isEmpty();
        assertThat(bound(4, 1, 90, 91)).isEmpty();
        assertThat(bound(5, 2, 90, 91)).isEmpty();
    }

    @Test
    void ifAsManyServersAsNeededAnswerTheHighestPositionIsRequired() {
        assertThat(bound(3, 1, 90, 95)).containsExactly(at(95));
        assertThat(bound(5, 2, 90, 95, 80)).containsExactly(at(95));
    }

    /** The primary has commits that no replica has received, so they are not acknowledged. */
    @Test
    void whatOnlyTooFewServersHaveReceivedIsNotRequired() {
        assertThat(bound(3, 1, 120, 110, 100)).containsExactly(at(110));
    }

    @Test
    void aPrimaryThatHasSteppedDownHoldsEverything() {
        assertThat(AcknowledgedBound.of(List.of(at(90)), 3, 1, Option.some(at(95))))
                .containsExactly(at(95));
        assertThat(AcknowledgedBound.of(List.of(at(99), at(97)), 3, 1, Option.some(at(95))))
                .containsExactly(at(95));
    }

    /** A server that reaches the bound has every commit that some selection of servers proves. */
    @ParameterizedTest
    @CsvSource({"3, 1", "4, 1", "5, 1", "5, 2", "7, 3"})
    void everyAcknowledgedCommitIsIncluded(int servers, int syncReplicas) {
        SplittableRandom random = new SplittableRandom(servers * 31L + syncReplicas);
        for (int run = 0; run < 2_000; run++) {
            List<Position> all = new ArrayList<>();
            for (int i = 0; i < servers; i++) {
                all.add(at(random.nextInt(20)));
            }
            // A commit is acknowledged once the primary and enough replicas have it.
            Position acknowledged = all.stream().sorted().toList().get(servers - 1 - syncReplicas);
            List<Position> answers = new ArrayList<>(all);
            int missing = random.nextInt(syncReplicas + 1);
            for (int i = 0; i < missing; i++) {
                answers.remove(random.nextInt(answers.size()));
            }
            assertThat(AcknowledgedBound.of(answers, servers, syncReplicas, Option.none()).get())
                    .as("positions %s, answers %s", all, answers)
                    .isGreaterThanOrEqualTo(acknowledged);
        }
    }
}
