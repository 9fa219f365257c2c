package org.ragwortmoor.state;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against treating a position as contained because a log of another term history has a
 * higher index.
 */
class TermHistoryTest {
    /** Term 1 wrote the entries 1 to 4; term 3 starts at 5. */
    private static final TermHistory HISTORY =
            new TermHistory(List.of(new TermStart(1, 1), new TermStart(3, 5)));

    @ParameterizedTest
    @CsvSource({
        // last term, last index, wanted term, wanted index, relation
        "3, 9, 3, 9, CONTAINED",
        "3, 9, 1, 4, CONTAINED",
        "3, 9, 0, 0, CONTAINED",
        "3, 9, 3, 10, NOT_YET",
        "3, 9, 4, 11, NOT_YET",
        // Term 1's entry at 5 was replaced by term 3's start.
        "3, 9, 1, 5, LOST",
        "3, 9, 1, 30, LOST",
        "3, 9, 2, 5, LOST",
        // A later term may still replace the suffix of this log.
        "3, 9, 4, 6, NOT_YET",
    })
    void relatesPositionToLog(
            long lastTerm, long lastIndex, long term, long index, Lineage expected) {
        Position last = new Position(lastTerm, lastIndex);
        assertThat(HISTORY.relate(last, new Position(term, index))).isEqualTo(expected);
    }

    @Test
    void refusesStartsOutOfOrder() {
        List<TermStart> starts = List.of(new TermStart(2, 5), new TermStart(3, 5));
        assertThatThrownBy(() -> new TermHistory(starts))
                .isInstanceOf(IllegalArgumentException.class);
    }

    @Test
    void truncationRemovesStartsAfterTheEnd() {
        assertThat(HISTORY.truncatedTo(4).starts()).containsExactly(new TermStart(1, 1));
    }

    @Test
    void entryOfAnOlderTermWithoutOneOfTheCurrentTermIsNotHeld() {
        EndpointStatus copied =
                new EndpointStatus(
                        3, false, new Position(1, 4), HISTORY.truncatedTo(4), 0, 0, 0, false);
        assertThat(copied.holds(new Position(1, 4), 3)).isFalse();
    }
}
