package org.ragwortmoor.coordination.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.Lineage;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.TermHistory;
import org.ragwortmoor.state.TermStart;

/** Tests that positions are confirmed and staleness is bounded only if statuses prove it. */
class TrackersTest {
    /** Term 1 wrote entries 1 to 4, term 2 started at entry 5. */
    private static final TermHistory HISTORY =
            new TermHistory(List.of(new TermStart(1, 1), new TermStart(2, 5)));

    private static EndpointStatus status(long promised, long term, long index, boolean primary) {
        return new EndpointStatus(
                promised,
                primary,
                new Position(term, index),
                HISTORY.truncatedTo(index),
                0,
                0,
                0,
                false);
    }

    @ParameterizedTest
    @CsvSource({
        // size, replica 1: promised, last term, index; replica 2: the same; confirmed index
        "3, 2, 2, 7, 0, 0, 0, 7",
        "3, 2, 2, 7, 2, 2, 9, 9",
        // The replica has no entry of the current term yet.
        "3, 2, 1, 4, 0, 0, 0, 0",
        // The replica promised a later term, so its log is no evidence for term 2.
        "3, 3, 2, 7, 0, 0, 0, 0",
        "5, 2, 2, 7, 0, 0, 0, 0",
        "5, 2, 2, 7, 2, 2, 9, 7",
        "5, 2, 2, 7, 1, 1, 4, 0",
    })
    void majorityConfirms(
            int size, long p1, long t1, long i1, long p2, long t2, long i2, long confirmed) {
        ConfirmationTracker tracker = new ConfirmationTracker();
        int majority = size / 2 + 1;
        tracker.update("a", status(2, 2, 6, true), majority, 2, "a");
        tracker.update("b", status(p1, t1, i1, false), majority, 2, "a");
        if (p2 > 0) {
            tracker.update("c", status(p2, t2, i2, false), majority, 2, "a");
        }
        assertThat(tracker.confirmed().index()).isEqualTo(confirmed);
        if (confirmed > 0) {
            assertThat(tracker.relate(new Position(1, 4))).isEqualTo(Lineage.CONTAINED);
            assertThat(tracker.relate(new Position(1, 5))).isEqualTo(Lineage.LOST);
            assertThat(tracker.relate(new Position(2, confirmed + 1))).isEqualTo(Lineage.NOT_YET);
        }
    }

    @Test
    void ageNeedsThePrimaryAndAMajorityOfOneTerm() {
        AgeTracker ages = new AgeTracker(3);
        ages.recordRoundSent(100);
        ages.recordAnswer(100, "b", status(2, 2, 7, false), 2);
        ages.recordAnswer(100, "c", status(2, 2, 7, false), 2);
        assertThat(ages.completeUpTo(new Position(2, 9), HISTORY)).isEqualTo(Long.MIN_VALUE);
        ages.recordRoundSent(200);
        ages.recordAnswer(200, "a", status(2, 2, 8, true), 2);
        ages.recordAnswer(200, "b", status(3, 2, 8, false), 2);
        assertThat(ages.completeUpTo(new Position(2, 9), HISTORY)).isEqualTo(Long.MIN_VALUE);
        ages.recordAnswer(200, "c", status(2, 2, 7, false), 2);
        assertThat(ages.completeUpTo(new Position(2, 8), HISTORY)).isEqualTo(200);
        assertThat(ages.completeUpTo(new Position(2, 7), HISTORY)).isEqualTo(Long.MIN_VALUE);
    }

    @Test
    void anIndexOfAnotherTermIsNotOlderData() {
        AgeTracker ages = new AgeTracker(3);
        ages.recordRoundSent(100);
        ages.recordAnswer(100, "a", status(2, 2, 6, true), 1);
        TermHistory other = new TermHistory(List.of(new TermStart(1, 1)));
        assertThat(ages.completeUpTo(new Position(1, 20), other)).isEqualTo(Long.MIN_VALUE);
    }
}
