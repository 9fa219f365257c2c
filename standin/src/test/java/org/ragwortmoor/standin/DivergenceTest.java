package org.ragwortmoor.standin;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/** Guards against replicas that keep entries which the primary's log does not have. */
class DivergenceTest {
    private static final long TERM = 100;
    private static final int BATCH_BYTES = 200;

    @ParameterizedTest
    @CsvSource({
        // Logs are the number of entries of terms 1, 2, 3; then the number of discarded entries.
        // A term has one primary, so its entries start at one index in all logs that have any.
        "4 0 2, 0 0 0, 0",
        "4 0 2, 4 0 0, 0",
        "4 0 2, 4 3 0, 3",
        "4 0 2, 6 0 0, 2",
        "2 3 0, 5 0 0, 3",
        "0 0 3, 5 0 0, 5",
        "4 2 0, 4 0 9, 9",
        "1 5 0, 1 0 7, 7",
    })
    void replicaTakesOverThePrimarysLog(String primaryLog, String replicaLog, long discarded) {
        StandinDatabase primary = database(primaryLog);
        StandinDatabase replica = database(replicaLog);
        primary.promote(TERM);
        replicate(primary, replica);
        assertSameLog(primary, replica);
        assertThat(replica.discardedEntries()).isEqualTo(discarded);
    }

    @Property(tries = 300, seed = "20261204")
    void anyLogsConverge(
            @ForAll @Size(min = 1, max = 8) List<@IntRange(min = 0, max = 4) Integer> shared,
            @ForAll @Size(max = 6) List<@IntRange(min = 0, max = 4) Integer> first,
            @ForAll @Size(max = 6) List<@IntRange(min = 0, max = 4) Integer> second) {
        StandinDatabase primary = new StandinDatabase(Journal.NONE, Recovered.EMPTY);
        StandinDatabase replica = new StandinDatabase(Journal.NONE, Recovered.EMPTY);
        primary.fence(TERM);
        replica.fence(TERM);
        append(primary, shared, 1, 1);
        append(replica, shared, 1, 1);
        // Each term has one primary, so diverging suffixes have terms of their own.
        append(primary, first, 20, 2);
        append(replica, second, 21, 2);
        Position before = replica.last();
        primary.promote(TERM);
        replicate(primary, replica);
        assertSameLog(primary, replica);
        if (second.stream().anyMatch(count -> count > 0)) {
            assertThat(replica.status(0, 0, 0, false).contains(before)).isFalse();
        }
    }

    @Test
    void entriesOfAnOverTermAreNotApplied() {
        StandinDatabase primary = database("2 0 0");
        StandinDatabase replica = new StandinDatabase(Journal.NONE, Recovered.EMPTY);
        primary.promote(TERM);
        replica.follow(TERM, "x");
        FetchOutcome late = primary.fetch(TERM, replica.last(), BATCH_BYTES);
        replica.fence(TERM + 1);
        assertThat(replica.replicate(TERM, late)).isFalse();
        assertThat(replica.last()).isEqualTo(Position.ZERO);
        assertThat(primary.fetch(TERM + 1, replica.last(), BATCH_BYTES))
                .isInstanceOf(FetchOutcome.Rejected.class);
    }

    @Test
    void entriesOutOfPlaceAreNotApplied() {
        StandinDatabase replica = database("2 0 0");
        LogEntry gap = new LogEntry(new Position(2, 4), new LogEntry.TermStarted());
        assertThat(
                        replica.replicate(
                                TERM, new FetchOutcome.Entries(new Position(1, 2), List.of(gap))))
                .isFalse();
        assertThat(replica.last()).isEqualTo(new Position(1, 2));
    }

    @Test
    void recordsFollowTheLogThatRemains() {
        StandinDatabase primary = database("1 0 0");
        StandinDatabase replica = database("1 2 0");
        assertThat(new Script(replica).run("read ?k2 ?k3")).isEqualTo("2:3 k2=2 k3=2");
        primary.promote(TERM);
        replicate(primary, replica);
        assertThat(new Script(replica).run("read ?k1 ?k2 ?k3"))
                .isEqualTo("100:2 k1=1 k2=none k3=none");
    }

    private static StandinDatabase database(String log) {
        StandinDatabase database = new StandinDatabase(Journal.NONE, Recovered.EMPTY);
        database.fence(TERM);
        List<Integer> counts = new ArrayList<>();
        for (String count : log.split(" ", -1)) {
            counts.add(Integer.parseInt(count));
        }
        append(database, counts, 1, 1);
        return database;
    }

    private static void append(
            StandinDatabase database, List<Integer> counts, long firstTerm, long termStep) {
        long term = firstTerm;
        for (int count : counts) {
            for (int i = 0; i < count; i++) {
                Position last = database.last();
                long index = last.index() + 1;
                LogEntry.Written written =
                        new LogEntry.Written(
                                new WriteIdentity("w" + term + "." + index, 1),
                                List.of(new Change("k" + index, Option.some("" + term))),
                                List.of());
                LogEntry entry = new LogEntry(new Position(term, index), written);
                assertThat(database.replicate(TERM, new FetchOutcome.Entries(last, List.of(entry))))
                        .isTrue();
            }
            term += termStep;
        }
    }

    private static void replicate(StandinDatabase primary, StandinDatabase replica) {
        int rounds = 0;
        while (!replica.last().equals(primary.last())) {
            assertThat(rounds++).as("rounds").isLessThan(200);
            FetchOutcome outcome = primary.fetch(TERM, replica.last(), BATCH_BYTES);
            assertThat(replica.replicate(TERM, outcome)).isTrue();
        }
    }

    private static void assertSameLog(StandinDatabase primary, StandinDatabase replica) {
        EndpointStatus expected = primary.status(0, 0, 0, false);
        EndpointStatus actual = replica.status(0, 0, 0, false);
        assertThat(actual.last()).isEqualTo(expected.last());
        assertThat(actual.history()).isEqualTo(expected.history());
        assertThat(actual.holds(expected.last(), TERM)).isTrue();
    }
}
