package org.ragwortmoor.coordination.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortmoor.state.Position;

/** Checks the consistency guarantees under random faults, for a fixed range of seeds. */
class EngineHistoryTest {
    private static final long MILLI = VirtualTime.MILLI;
    private static final long LOAD_NANOS = 3000 * MILLI;

    @ParameterizedTest
    @CsvSource({"3, 0, 140", "5, 1000, 60"})
    void promisesHoldUnderFaults(int size, long firstSeed, int seeds) {
        List<History> histories =
                LongStream.range(firstSeed, firstSeed + seeds)
                        .parallel()
                        .mapToObj(seed -> run(size, seed))
                        .toList();
        // A run in which nothing succeeds would violate no guarantee.
        assertThat(histories.stream().mapToInt(h -> h.reads.size()).sum())
                .isGreaterThan(100 * seeds);
        assertThat(histories.stream().mapToInt(History::acknowledged).sum())
                .isGreaterThan(50 * seeds);
    }

    private static History run(int size, long seed) {
        FakeGroup group = new FakeGroup(size, 2, 30, 3 * MILLI, seed);
        Random random = new Random(seed);
        group.lateAnswerProbability = 0.02;
        group.crossedAnswerProbability = 0.02;
        group.maxViewDelayNanos = random.nextInt(400) * MILLI;
        for (int i = 0; i < 3; i++) {
            group.addProxy(EngineSettings.defaults(), 4, 1);
        }
        group.time.runUntil(200 * MILLI);
        History history = new History();
        List<HistoryClient> clients = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            clients.add(new HistoryClient(group, history, "s" + i, LOAD_NANOS, seed * 100 + i));
        }
        for (int i = 0; i < 5; i++) {
            group.time.at((300 + random.nextInt(2200)) * MILLI, () -> fault(group, random));
        }
        group.time.runUntil(LOAD_NANOS);
        group.heal();
        group.failOver();
        group.time.runUntil(LOAD_NANOS + 2500 * MILLI);

        assertThat(history.violations(group.primary().log)).as("seed " + seed).isEmpty();
        assertThat(clients)
                .as("seed " + seed)
                .allMatch(c -> c.lateAnswers == 0 && c.positionsLost == 0);
        assertThat(group.proxies).as("seed " + seed).allMatch(p -> p.dead || p.unanswered() == 0);
        return history;
    }

    private static void fault(FakeGroup group, Random random) {
        FakeEndpoint any = group.endpoints.get(random.nextInt(group.endpoints.size()));
        FakeEndpoint primary = group.primary();
        FakeGroup.Proxy proxy = group.proxies.get(random.nextInt(group.proxies.size()));
        long repair = (300 + random.nextInt(1500)) * MILLI;
        long failOver = (100 + random.nextInt(400)) * MILLI;
        switch (random.nextInt(8)) {
            case 0 -> {
                group.unreachable.add(primary.name);
                group.time.after(failOver, group::failOver);
                group.time.after(repair, () -> group.unreachable.remove(primary.name));
            }
            case 1 -> {
                group.isolated.add(primary.name);
                group.time.after(failOver, group::failOver);
                group.time.after(repair, () -> group.isolated.remove(primary.name));
            }
            case 2 -> {
                any.crash();
                group.time.after(failOver, group::failOver);
                group.time.after(repair, () -> any.down = false);
            }
            case 3 -> {
                group.stalled.add(any.name);
                group.time.after(repair, () -> group.stalled.remove(any.name));
            }
            case 4 -> {
                proxy.silence();
                proxy.silence();
            }
            case 5 -> {
                if (group.proxies.stream().filter(p -> !p.dead).count() > 1) {
                    proxy.kill();
                }
            }
            case 6 -> group.failOver();
            default -> {
                any.leaving = true;
                group.time.after(repair, () -> any.leaving = false);
            }
        }
    }

    /** Checks the checker: it must report a violation for each invalid history. */
    @Test
    void checkerNoticesWrongHistories() {
        List<FakeEndpoint.Entry> log = new ArrayList<>();
        log.add(new FakeEndpoint.Entry(1, null, List.of(), false));
        log.add(entry("a"));
        log.add(entry("b"));
        assertThat(historyWith(history -> {}).violations(log)).isEmpty();
        assertThat(historyWith(h -> write(h, "lost", History.Outcome.DONE, 2)).violations(log))
                .isNotEmpty();
        assertThat(historyWith(h -> write(h, "a", History.Outcome.NOT_RUN, 0)).violations(log))
                .isNotEmpty();
        assertThat(historyWith(h -> write(h, "a", History.Outcome.DONE, 3)).violations(log))
                .isNotEmpty();
        assertThat(historyWith(h -> h.write("a", List.of(), 0)).violations(log)).isNotEmpty();
        assertThat(historyWith(h -> read(h, ReadLevel.SESSION, 1, 1, 0)).violations(log))
                .isNotEmpty();
        assertThat(historyWith(h -> read(h, ReadLevel.SESSION, 1, 2, 3)).violations(log))
                .isNotEmpty();
        assertThat(historyWith(h -> read(h, ReadLevel.SESSION, 1, 2, 2)).violations(log)).isEmpty();
        for (ReadLevel level : List.of(ReadLevel.STRONG, ReadLevel.AGE)) {
            assertThat(
                            historyWith(
                                            h -> {
                                                write(h, "b", History.Outcome.DONE, 3);
                                                read(h, level, 1, 2, 0);
                                            })
                                    .violations(log))
                    .isNotEmpty();
        }
        log.add(entry("a"));
        assertThat(historyWith(h -> write(h, "a", History.Outcome.UNKNOWN, 0)).violations(log))
                .isNotEmpty();
    }

    private static History historyWith(java.util.function.Consumer<History> change) {
        History history = new History();
        change.accept(history);
        return history;
    }

    private static FakeEndpoint.Entry entry(String key) {
        return new FakeEndpoint.Entry(
                1,
                new org.ragwortmoor.state.endpoint.WriteIdentity(key, 1),
                List.of(new org.ragwortmoor.state.endpoint.Operation.Increment("c", 1)),
                false);
    }

    private static void write(History history, String key, History.Outcome outcome, long index) {
        History.Write write = history.write(key, entry(key).operations(), 1);
        write.outcome = outcome;
        if (outcome == History.Outcome.DONE) {
            write.done(new Position(1, index), 2);
        }
    }

    private static void read(
            History history, ReadLevel level, long value, long index, long sessionIndex) {
        history.reads.add(
                new History.Read(
                        level,
                        5,
                        10,
                        20,
                        "c",
                        value,
                        new Position(1, index),
                        new Position(sessionIndex == 0 ? 0 : 1, sessionIndex)));
    }
}
