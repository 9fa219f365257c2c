package org.ragwortmoor.history;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.params.provider.Arguments.arguments;
import static org.ragwortmoor.history.Outcome.DONE;
import static org.ragwortmoor.history.Outcome.NOT_RUN;
import static org.ragwortmoor.history.Outcome.UNKNOWN;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.ragwortmoor.coordination.engine.ReadLevel;

/** Guards against a checker that misses a broken promise or reports a kept one. */
class HistoryCheckerTest {
    private static HistoryBuilder history() {
        return new HistoryBuilder();
    }

    private static Access put(String key, String value) {
        return Access.put(key, value);
    }

    private static Access add(long delta) {
        return Access.increment("c", delta);
    }

    static Stream<Arguments> wrongEffects() {
        return Stream.of(
                arguments(
                        "acknowledged write gone",
                        ViolationKind.ACKNOWLEDGED_LOST,
                        history().put(0, 1, "s", "k", "a").end("k", null)),
                arguments(
                        "replaced write came back",
                        ViolationKind.ACKNOWLEDGED_LOST,
                        history().put(0, 1, "s", "k", "a").put(2, 3, "t", "k", "b").end("k", "a")),
                arguments(
                        "acknowledged increment gone",
                        ViolationKind.ACKNOWLEDGED_LOST,
                        history().write(0, 1, "s", "i", DONE, 0, add(1)).end("c", null)),
                arguments(
                        "write settled as done by a question is gone",
                        ViolationKind.ACKNOWLEDGED_LOST,
                        history()
                                .write(0, 1, "s", "i", UNKNOWN, 0, put("k", "a"))
                                .outcome(2, 3, "s", "i", DONE)
                                .end("k", null)),
                arguments(
                        "refused write present",
                        ViolationKind.NOT_RUN_APPLIED,
                        history().write(0, 1, "s", "i", NOT_RUN, 0, put("k", "a")).end("k", "a")),
                arguments(
                        "cancelled write present",
                        ViolationKind.NOT_RUN_APPLIED,
                        history()
                                .write(0, 1, "s", "i", UNKNOWN, 0, put("k", "a"))
                                .outcome(2, 3, "s", "i", NOT_RUN)
                                .end("k", "a")),
                arguments(
                        "resent increment counted twice",
                        ViolationKind.COUNTED_TWICE,
                        history()
                                .write(0, 1, "s", "i", UNKNOWN, 0, add(1))
                                .write(2, 3, "s", "i", DONE, 0, add(1))
                                .end("c", "2")),
                arguments(
                        "unknown increment counted twice",
                        ViolationKind.COUNTED_TWICE,
                        history().write(0, 1, "s", "i", UNKNOWN, 0, add(1)).end("c", "2")),
                arguments(
                        "refused increment counted",
                        ViolationKind.COUNTED_TWICE,
                        history().write(0, 1, "s", "i", NOT_RUN, 0, add(1)).end("c", "1")),
                arguments(
                        "no final read",
                        ViolationKind.UNUSABLE_HISTORY,
                        history().put(0, 1, "s", "k", "a")));
    }

    static Stream<Arguments> wrongReads() {
        return Stream.of(
                arguments(
                        "own write unseen",
                        ViolationKind.OWN_WRITE_UNSEEN,
                        history()
                                .put(0, 1, "s", "k", "a")
                                .read(2, 3, "s", "k", null)
                                .end("k", "a")),
                arguments(
                        "own write unseen, by log order of concurrent writes",
                        ViolationKind.OWN_WRITE_UNSEEN,
                        history()
                                .write(0, 9, "t", "j", DONE, 1, put("k", "b"))
                                .write(0, 1, "s", "i", DONE, 2, put("k", "a"))
                                .read(2, 3, "s", "k", "b")
                                .end("k", "a")),
                arguments(
                        "own increment unseen",
                        ViolationKind.OWN_WRITE_UNSEEN,
                        history()
                                .write(0, 1, "s", "i", DONE, 0, add(1))
                                .read(2, 3, "s", "c", "0")
                                .end("c", "1")),
                arguments(
                        "session went back",
                        ViolationKind.READ_WENT_BACK,
                        history()
                                .put(0, 1, "w", "k", "a")
                                .put(2, 3, "w", "k", "b")
                                .read(4, 5, "s", "k", "b")
                                .read(6, 7, "s", "k", "a")
                                .end("k", "b")),
                arguments(
                        "counter went back",
                        ViolationKind.READ_WENT_BACK,
                        history()
                                .write(0, 1, "w", "i", DONE, 0, add(1))
                                .read(4, 5, "s", "c", "1")
                                .read(6, 7, "s", "c", "0")
                                .end("c", "1")),
                arguments(
                        "overlapping requests of a session",
                        ViolationKind.UNUSABLE_HISTORY,
                        history()
                                .read(0, 5, "s", "k", null)
                                .read(1, 2, "s", "k", null)
                                .end("k", null)));
    }

    static Stream<Arguments> wrongLevels() {
        return Stream.of(
                arguments(
                        "strong read misses an acknowledged write",
                        ViolationKind.NOT_LINEARIZABLE,
                        history()
                                .put(0, 1, "w", "k", "a")
                                .read(2, 3, "s", ReadLevel.STRONG, 0, "k", null)
                                .end("k", "a")),
                arguments(
                        "strong reads see concurrent writes in two orders",
                        ViolationKind.NOT_LINEARIZABLE,
                        history()
                                .put(0, 100, "w", "k", "a")
                                .put(0, 100, "x", "k", "b")
                                .read(10, 11, "s", ReadLevel.STRONG, 0, "k", "a")
                                .read(12, 13, "t", ReadLevel.STRONG, 0, "k", "b")
                                .read(14, 15, "u", ReadLevel.STRONG, 0, "k", "a")
                                .end("k", "a")),
                arguments(
                        "strong read of a counter misses an increment",
                        ViolationKind.NOT_LINEARIZABLE,
                        history()
                                .write(0, 1, "w", "i", DONE, 0, add(1))
                                .read(2, 3, "s", ReadLevel.STRONG, 0, "c", "0")
                                .end("c", "1")),
                arguments(
                        "strong reads of a counter fall",
                        ViolationKind.NOT_LINEARIZABLE,
                        history()
                                .write(0, 50, "w", "i", DONE, 0, add(1))
                                .read(2, 3, "s", ReadLevel.STRONG, 0, "c", "1")
                                .read(4, 5, "t", ReadLevel.STRONG, 0, "c", "0")
                                .end("c", "1")),
                arguments(
                        "older than the accepted age",
                        ViolationKind.TOO_OLD,
                        history()
                                .put(0, 1, "w", "k", "a")
                                .read(502, 503, "s", ReadLevel.AGE, 500, "k", null)
                                .end("k", "a")),
                arguments(
                        "counter older than the accepted age",
                        ViolationKind.TOO_OLD,
                        history()
                                .write(0, 1, "w", "i", DONE, 0, add(1))
                                .read(502, 503, "s", ReadLevel.AGE, 500, "c", "0")
                                .end("c", "1")));
    }

    static Stream<Arguments> wrongAnswers() {
        Request read =
                new Request(
                        "s",
                        "p",
                        "x",
                        RequestKind.READ,
                        "g",
                        List.of(Access.get("k")),
                        null,
                        false,
                        ReadLevel.SESSION,
                        0);
        return Stream.of(
                arguments(
                        "records of another request",
                        ViolationKind.FOREIGN_ANSWER,
                        history()
                                .add(
                                        0,
                                        1,
                                        read,
                                        Answer.done(
                                                List.of(new Answer.Returned("l", null)),
                                                "1:1",
                                                null))),
                arguments(
                        "a value that nobody wrote",
                        ViolationKind.FOREIGN_ANSWER,
                        history().read(0, 1, "s", "k", "a")),
                arguments(
                        "a value of another record",
                        ViolationKind.FOREIGN_ANSWER,
                        history().put(0, 1, "w", "l", "a").read(2, 3, "s", "k", "a").end("l", "a")),
                arguments(
                        "a value of the future",
                        ViolationKind.FOREIGN_ANSWER,
                        history().read(0, 1, "s", "k", "a").put(2, 3, "w", "k", "a").end("k", "a")),
                arguments(
                        "idempotency key of another write",
                        ViolationKind.FOREIGN_ANSWER,
                        history()
                                .add(
                                        0,
                                        1,
                                        new Request(
                                                "s",
                                                "p",
                                                "x",
                                                RequestKind.WRITE,
                                                "g",
                                                List.of(put("k", "a")),
                                                "i",
                                                false,
                                                null,
                                                0),
                                        Answer.done(List.of(), "1:1", "j"))
                                .end("k", "a")),
                arguments(
                        "two writes at one position",
                        ViolationKind.FOREIGN_ANSWER,
                        history()
                                .write(0, 1, "s", "i", DONE, 3, put("k", "a"))
                                .write(2, 3, "t", "j", DONE, 3, put("l", "b"))
                                .end("k", "a", "l", "b")));
    }

    static Stream<Arguments> wrongTransactions() {
        return Stream.of(
                arguments(
                        "half of a transaction read",
                        ViolationKind.TRANSACTION_TORN,
                        history()
                                .write(0, 9, "w", "i", DONE, 1, put("k", "a"), put("l", "b"))
                                .read(2, 3, "s", "k", "a", "l", null)
                                .end("k", "a", "l", "b")),
                arguments(
                        "half of an unknown transaction left",
                        ViolationKind.TRANSACTION_TORN,
                        history()
                                .write(0, 9, "w", "i", UNKNOWN, 0, put("k", "a"), put("l", "b"))
                                .end("k", "a", "l", null)),
                arguments(
                        "lost update between transactions",
                        ViolationKind.TRANSACTIONS_MIXED,
                        history()
                                .transaction(0, 9, "s", 1, "k", null, "a")
                                .transaction(0, 9, "t", 2, "k", null, "b")
                                .end("k", "b")));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource({
        "wrongEffects",
        "wrongReads",
        "wrongLevels",
        "wrongAnswers",
        "wrongTransactions"
    })
    void wrongHistoryIsFound(String name, ViolationKind kind, HistoryBuilder history) {
        List<Violation> found = HistoryChecker.check(history.build());
        assertThat(found).as(name).extracting(Violation::kind).contains(kind);
        assertThat(found)
                .allSatisfy(v -> assertThat(v.message()).startsWith(v.kind() + ": "))
                .anySatisfy(v -> assertThat(v.message()).contains("\"request\":{"));
    }

    static Stream<Arguments> right() {
        return Stream.of(
                arguments("nothing", history()),
                arguments(
                        "unknown writes may or may not have run",
                        history()
                                .write(0, 1, "s", "i", UNKNOWN, 0, put("k", "a"))
                                .write(0, 1, "t", "j", UNKNOWN, 0, put("l", "b"))
                                .end("k", "a", "l", null)),
                arguments(
                        "a resend under the same key counts once",
                        history()
                                .write(0, 1, "s", "i", UNKNOWN, 0, add(1))
                                .write(2, 3, "s", "i", DONE, 0, add(1))
                                .end("c", "1")),
                arguments(
                        "a cancelled write that was sent anew",
                        history()
                                .write(0, 1, "s", "i", UNKNOWN, 0, put("k", "a"))
                                .outcome(2, 3, "s", "i", NOT_RUN)
                                .write(4, 5, "s", "i", DONE, 4, put("k", "a"))
                                .end("k", "a")),
                arguments(
                        "an older state for another session and within the accepted age",
                        history()
                                .put(0, 1, "w", "k", "a")
                                .put(10, 11, "w", "k", "b")
                                .read(12, 13, "s", "k", "a")
                                .read(14, 15, "t", ReadLevel.AGE, 500, "k", "a")
                                .end("k", "b")),
                arguments(
                        "concurrent writes in either order",
                        history()
                                .put(0, 20, "w", "k", "a")
                                .put(0, 20, "x", "k", "b")
                                .read(10, 11, "s", ReadLevel.STRONG, 0, "k", "a")
                                .read(12, 13, "t", ReadLevel.STRONG, 0, "k", "b")
                                .end("k", "b")),
                arguments(
                        "a strong read during a write, a late unknown write",
                        history()
                                .put(0, 10, "w", "k", "a")
                                .read(1, 2, "s", ReadLevel.STRONG, 0, "k", null)
                                .read(3, 4, "s", ReadLevel.STRONG, 0, "k", "a")
                                .write(20, 21, "x", "i", UNKNOWN, 0, put("k", "b"))
                                .read(22, 23, "s", ReadLevel.STRONG, 0, "k", "a")
                                .read(60, 61, "s", ReadLevel.STRONG, 0, "k", "b")
                                .end("k", "b")),
                arguments(
                        "a counter between acknowledged and possible increments",
                        history()
                                .write(0, 1, "w", "i", DONE, 0, add(2))
                                .write(2, 9, "x", "j", DONE, 0, add(3))
                                .read(4, 5, "s", ReadLevel.STRONG, 0, "c", "2")
                                .read(6, 7, "s", ReadLevel.STRONG, 0, "c", "5")
                                .end("c", "5")),
                arguments(
                        "transactions one after another",
                        history()
                                .transaction(0, 9, "s", 1, "k", null, "a")
                                .transaction(0, 19, "t", 2, "k", "a", "b")
                                .end("k", "b")),
                arguments(
                        "a part of a transaction replaced by a later write",
                        history()
                                .write(0, 9, "w", "i", DONE, 1, put("k", "a"), put("l", "b"))
                                .write(10, 11, "w", "j", DONE, 2, put("l", "c"))
                                .read(12, 13, "w", "k", "a", "l", "c")
                                .end("k", "a", "l", "c")));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("right")
    void rightHistoryIsAccepted(String name, HistoryBuilder history) {
        assertThat(HistoryChecker.check(history.build())).as(name).isEmpty();
    }
}
