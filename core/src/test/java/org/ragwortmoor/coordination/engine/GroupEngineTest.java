package org.ragwortmoor.coordination.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/** Tests of confirmed writes, replica reads, strong reads, transactions and stopping. */
class GroupEngineTest extends EngineTestCase {
    @Test
    void writeIsConfirmedAndReadFromReplica() {
        group.time.runUntil(300 * MILLI);
        CallerAnswer.Done written = (CallerAnswer.Done) call(increment("k", "w1"));
        assertThat(group.endpoints.stream().filter(e -> e.status().contains(written.position())))
                .hasSizeGreaterThanOrEqualTo(2);
        for (ReadLevel level : ReadLevel.values()) {
            CallerAnswer.Done read = (CallerAnswer.Done) call(get("k", level, written.position()));
            assertThat(read.records().get(0).value().get()).isEqualTo("1");
            assertThat(read.replica()).isEqualTo(level != ReadLevel.STRONG);
        }
    }

    @Test
    void sameKeyIsExecutedOnce() {
        assertThat(call(increment("k", "w1"))).isInstanceOf(CallerAnswer.Done.class);
        CallerAnswer.Done again = (CallerAnswer.Done) call(increment("k", "w1"));
        assertThat(again.duplicate()).isTrue();
        CallerAnswer.Done read =
                (CallerAnswer.Done) call(get("k", ReadLevel.STRONG, Position.ZERO));
        assertThat(read.records().get(0).value().get()).isEqualTo("1");
    }

    @Test
    void writeWithoutMajorityIsUnknownAndResolvedLater() {
        group.time.runUntil(300 * MILLI);
        group.stalled.add("e1");
        group.stalled.add("e2");
        assertThat(call(increment("k", "w1"))).isInstanceOf(CallerAnswer.Unknown.class);
        group.heal();
        CallerAnswer resolved =
                call(
                        new CallerRequest.Resolve(
                                ++lastId, "s", new WriteIdentity("w1", 1), deadline()));
        assertThat(resolved).isInstanceOf(CallerAnswer.Done.class);
    }

    @Test
    void stopFinishesWhatIsInFlight() {
        group.time.runUntil(300 * MILLI);
        List<CallerAnswer> inFlight = new ArrayList<>();
        proxy.call(increment("k", "w1"), inFlight::add);
        proxy.handle(new EngineEvent.StopRequested());
        assertThat(call(increment("k", "w2"))).isInstanceOf(CallerAnswer.NotRun.class);
        assertThat(inFlight).hasOnlyElementsOfType(CallerAnswer.Done.class).hasSize(1);
        assertThat(proxy.engine.stopped()).isTrue();
        assertThat(group.primary().log).hasSize(2);
    }

    private CallerAnswer incrementIn(String transaction, String session) {
        return call(
                new CallerRequest.InTransaction(
                        ++lastId,
                        session,
                        transaction,
                        List.of(new Operation.Increment("k", 1), new Operation.Get("k")),
                        1000,
                        deadline()));
    }

    private static ErrorKind refusal(CallerAnswer answer) {
        assertThat(answer).isInstanceOf(CallerAnswer.NotRun.class);
        return ((CallerAnswer.NotRun) answer).kind();
    }

    /** A transaction must not be usable by another session or after it has ended. */
    @Test
    void transactionBelongsToItsSessionAndEndsOnce() {
        String transaction = begin().transaction();
        assertThat(refusal(incrementIn(transaction, "other")))
                .isEqualTo(ErrorKind.FOREIGN_TRANSACTION);
        CallerAnswer.Done read = (CallerAnswer.Done) incrementIn(transaction, "s");
        assertThat(read.records().get(0).value().get()).isEqualTo("1");
        assertThat(commit(transaction, "s", "t1")).isInstanceOf(CallerAnswer.Done.class);
        assertThat(refusal(incrementIn(transaction, "s"))).isEqualTo(ErrorKind.UNKNOWN_TRANSACTION);
        // A retried commit returns the recorded outcome.
        assertThat(commit(transaction, "s", "t1")).isInstanceOf(CallerAnswer.Done.class);
    }

    @Test
    void conflictingCommitIsNotRun() {
        String transaction = begin().transaction();
        incrementIn(transaction, "s");
        call(increment("k", "w1"));
        assertThat(refusal(commit(transaction, "s", "t1"))).isEqualTo(ErrorKind.CONFLICT);
        assertThat(group.primary().log).hasSize(2);
    }

    /** A transaction must not stay open on a connection that is reused. */
    @Test
    void transactionIsRolledBackWithItsCallerAndAtItsDeadline() {
        String first = begin().transaction();
        incrementIn(first, "s");
        proxy.handle(new EngineEvent.CallerLost("s"));
        assertThat(refusal(commit(first, "s", "t1"))).isEqualTo(ErrorKind.UNKNOWN_TRANSACTION);
        String second = begin().transaction();
        group.time.runUntil(group.time.now() + 6000 * MILLI);
        assertThat(refusal(commit(second, "s", "t2"))).isEqualTo(ErrorKind.UNKNOWN_TRANSACTION);
        assertThat(proxy.engine.dump().transactions()).isZero();
        assertThat(proxy.engine.dump().counters()).containsEntry(Counter.RESETS, 2L);
    }

    /** A write queued in another proxy must not run after an outcome query answered "not run". */
    @Test
    void writeCancelledByAnOutcomeQueryNeverRuns() {
        group.time.runUntil(300 * MILLI);
        WriteIdentity identity = new WriteIdentity("w1", 1);
        CallerAnswer resolved =
                call(new CallerRequest.Resolve(++lastId, "s", identity, deadline()));
        assertThat(refusal(resolved)).isEqualTo(ErrorKind.CANCELLED);
        int entries = group.primary().log.size();
        assertThat(refusal(call(increment("k", "w1")))).isEqualTo(ErrorKind.CANCELLED);
        assertThat(group.primary().log).hasSize(entries);
    }

    /** A write must not be lost because another proxy cancelled its own first attempt of it. */
    @Test
    void writeWhoseEarlierAttemptIsCancelledRunsUnderTheNextOne() {
        group.time.runUntil(300 * MILLI);
        FakeEndpoint primary = group.primary();
        primary.log.add(
                new FakeEndpoint.Entry(
                        primary.log.get(0).term(), new WriteIdentity("w1", 1), List.of(), true));
        assertThat(call(increment("k", "w1"))).isInstanceOf(CallerAnswer.Done.class);
        assertThat(primary.log.get(2).identity()).isEqualTo(new WriteIdentity("w1", 2));
    }

    /** A slow statement must not be treated as an unresponsive connection, or the reverse. */
    @Test
    void silentConnectionIsReplacedAndSlowStatementIsNot() {
        group.time.runUntil(300 * MILLI);
        List<CallerAnswer> slow = new ArrayList<>();
        CallerRequest.Read read = get("k", ReadLevel.STRONG, Position.ZERO);
        proxy.call(
                new CallerRequest.Read(
                        read.id(),
                        "s",
                        read.operations(),
                        ReadLevel.STRONG,
                        0,
                        Position.ZERO,
                        "slow",
                        3_000_000,
                        group.time.now() + 5000 * MILLI),
                slow::add);
        group.time.runUntil(group.time.now() + 4000 * MILLI);
        assertThat(slow).hasOnlyElementsOfType(CallerAnswer.Done.class).hasSize(1);
        assertThat(proxy.engine.dump().counters()).doesNotContainKey(Counter.CONNECTIONS_SILENT);
        proxy.silence();
        group.time.runUntil(group.time.now() + 3000 * MILLI);
        assertThat(proxy.engine.dump().counters()).containsEntry(Counter.CONNECTIONS_SILENT, 1L);
        assertThat(proxy.engine.dump().endpoints()).allMatch(e -> e.idle() == 4);
    }

    @Test
    void leavingEndpointGetsNoNewWork() {
        group.time.runUntil(300 * MILLI);
        group.find("e1").leaving = true;
        group.time.runUntil(group.time.now() + 300 * MILLI);
        for (int i = 0; i < 10; i++) {
            CallerAnswer.Done read =
                    (CallerAnswer.Done) call(get("k", ReadLevel.SESSION, Position.ZERO));
            assertThat(read.endpoint()).isEqualTo("e2");
        }
    }

    /** A position must not be compared by its index with a log of another history. */
    @Test
    void discardedPositionIsLost() {
        group.time.runUntil(300 * MILLI);
        call(increment("k", "w1"));
        group.failOver();
        call(increment("k", "w2"));
        assertThat(refusal(call(get("k", ReadLevel.SESSION, new Position(1, 3)))))
                .isEqualTo(ErrorKind.POSITION_LOST);
    }

    @Test
    void requestsThatNeedAMajorityAreRefusedAtOnceWhenCutOff() {
        group.time.runUntil(300 * MILLI);
        group.unreachable.add("e0");
        group.unreachable.add("e1");
        group.time.runUntil(2000 * MILLI);
        assertThat(refusal(call(increment("k", "w1")))).isEqualTo(ErrorKind.NO_PRIMARY);
        assertThat(refusal(call(get("k", ReadLevel.AGE, Position.ZERO))))
                .isEqualTo(ErrorKind.TOO_OLD);
        assertThat(call(get("k", ReadLevel.SESSION, Position.ZERO)))
                .isInstanceOf(CallerAnswer.Done.class);
    }

    /** "Not run" must not be answered while a failover can still discard the cancellation mark. */
    @Test
    void unconfirmedCancellationIsUnknown() {
        group.time.runUntil(300 * MILLI);
        group.stalled.add("e1");
        group.stalled.add("e2");
        CallerAnswer answer =
                call(
                        new CallerRequest.Resolve(
                                ++lastId, "s", new WriteIdentity("w1", 1), deadline()));
        assertThat(answer).isInstanceOf(CallerAnswer.Unknown.class);
    }

    /** A replaced primary must not answer strong reads because of statuses sent before the read. */
    @Test
    void replacedPrimaryAnswersNoStrongRead() {
        FakeGroup.Proxy other = group.addProxy(EngineSettings.defaults(), 4, 1);
        proxy.receivesViews = false;
        // Between two status rounds and between two pings of the proxy that receives no views.
        group.time.runUntil(1110 * MILLI);
        group.isolated.add("e0");
        group.maxViewDelayNanos = 0;
        group.failOver();
        group.time.runUntil(1112 * MILLI);
        List<CallerAnswer> written = new ArrayList<>();
        other.call(increment("k", "w1"), written::add);
        group.time.runUntil(1150 * MILLI);
        assertThat(written).hasOnlyElementsOfType(CallerAnswer.Done.class).hasSize(1);
        // This proxy only has statuses that the replicas sent before they promised the new term.
        group.unreachable.add("e1");
        group.unreachable.add("e2");
        assertThat(refusal(call(get("k", ReadLevel.STRONG, Position.ZERO))))
                .isIn(ErrorKind.DEADLINE_EXCEEDED, ErrorKind.OVERLOADED);
    }

    /**
     * A write must not be retried under a new attempt while the earlier one may still arrive: a
     * refusal of the retry would be answered as "not run" although the earlier attempt runs.
     */
    @Test
    void writeWithoutAnswerIsResolvedBeforeItsNextAttempt() {
        group.time.runUntil(300 * MILLI);
        List<EngineAction.Send> sent = new ArrayList<>();
        proxy.observer =
                send -> {
                    if (send.call() instanceof EndpointCall.Write
                            || send.call() instanceof EndpointCall.Resolve) {
                        sent.add(send);
                    }
                };
        List<CallerAnswer> ended = new ArrayList<>();
        CallerRequest.Write write = increment("k", "w1");
        proxy.call(
                new CallerRequest.Write(
                        write.id(),
                        "s",
                        write.operations(),
                        write.identity(),
                        false,
                        "book",
                        100_000,
                        group.time.now() + 1000 * MILLI),
                ended::add);
        group.time.runUntil(group.time.now() + 20 * MILLI);
        assertThat(sent).hasSize(1);
        proxy.handle(new EngineEvent.ConnectionLost(sent.get(0).connection(), "reset"));
        group.time.runUntil(group.time.now() + 1000 * MILLI);
        assertThat(ended).hasOnlyElementsOfType(CallerAnswer.Done.class).hasSize(1);
        assertThat(sent.stream().map(EngineAction.Send::call).toList())
                .extracting(call -> call.getClass().getSimpleName())
                .containsExactly("Write", "Resolve", "Write");
        assertThat(((EndpointCall.Resolve) sent.get(1).call()).identity())
                .isEqualTo(new WriteIdentity("w1", 1));
        assertThat(((EndpointCall.Write) sent.get(2).call()).identity())
                .isEqualTo(new WriteIdentity("w1", 2));
        assertThat(group.primary().log.stream().filter(e -> !e.operations().isEmpty())).hasSize(1);
    }

    /** A replica that lost entries after its last status must not answer with stale data. */
    @Test
    void replicaThatLostTheSessionsPositionAnswersNoRead() {
        group.time.runUntil(300 * MILLI);
        call(increment("k", "w1"));
        CallerAnswer.Done written = (CallerAnswer.Done) call(increment("k", "w2"));
        List<EngineAction.Send> reads = new ArrayList<>();
        proxy.observer =
                send -> {
                    if (send.call() instanceof EndpointCall.Read) {
                        reads.add(send);
                    }
                };
        FakeEndpoint older = new FakeEndpoint("older", 1, group.time);
        older.promote(1);
        for (FakeEndpoint replica : List.of(group.find("e1"), group.find("e2"))) {
            group.stalled.add(replica.name);
            replica.fetch(older, 50);
            assertThat(replica.last()).isLessThan(written.position());
        }
        CallerAnswer answer = call(get("k", ReadLevel.SESSION, written.position()));
        assertThat(reads).as("a replica and then the primary").hasSize(2);
        CallerAnswer.Done read = (CallerAnswer.Done) answer;
        assertThat(read.replica()).isFalse();
        assertThat(read.records().get(0).value().get()).isEqualTo("2");
    }
}
