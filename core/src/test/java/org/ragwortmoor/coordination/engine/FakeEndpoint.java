package org.ragwortmoor.coordination.engine;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.TermHistory;
import org.ragwortmoor.state.TermStart;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.endpoint.ReadRecord;
import org.ragwortmoor.state.endpoint.RefusalKind;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/**
 * A deterministic fake of a database server with log, fencing, slots, transactions and idempotency
 * keys.
 */
final class FakeEndpoint {
    /** A log entry. A null identity denotes a term start, {@code cancelled} a cancellation mark. */
    record Entry(
            long term, WriteIdentity identity, List<Operation> operations, boolean cancelled) {}

    private record Waiting(
            long connection, EndpointCall call, long arrivedAt, Consumer<EndpointAnswer> reply) {}

    private record Await(Position position, long until, Consumer<EndpointAnswer> reply) {}

    private static final class Transaction {
        private final long id;
        private final int snapshot;
        private final List<Operation> operations = new ArrayList<>();
        private final Set<String> touched = new HashSet<>();

        private Transaction(long id, int snapshot) {
            this.id = id;
            this.snapshot = snapshot;
        }
    }

    final String name;
    final int slots;
    final List<Entry> log = new ArrayList<>();
    long promisedTerm;
    boolean primary;
    boolean leaving;
    boolean down;
    final Set<Long> connections = new HashSet<>();
    private final VirtualTime time;
    private final Map<Long, Transaction> openTransactions = new HashMap<>();
    private final Deque<Waiting> queue = new ArrayDeque<>();
    private final List<Await> awaits = new ArrayList<>();
    private TermHistory history = TermHistory.EMPTY;
    private Map<String, String> records = new TreeMap<>();
    private final Map<String, Integer> lastChange = new HashMap<>();
    private int running;
    private long lastTransaction;

    FakeEndpoint(String name, int slots, VirtualTime time) {
        this.name = name;
        this.slots = slots;
        this.time = time;
    }

    Position last() {
        return log.isEmpty()
                ? Position.ZERO
                : new Position(log.get(log.size() - 1).term(), log.size());
    }

    EndpointStatus status() {
        return new EndpointStatus(
                promisedTerm,
                primary,
                last(),
                history,
                running,
                queue.size(),
                connections.size(),
                leaving);
    }

    void connected(long connection) {
        connections.add(connection);
    }

    void disconnected(long connection) {
        connections.remove(connection);
        openTransactions.remove(connection);
        queue.removeIf(w -> w.connection() == connection);
    }

    void crash() {
        down = true;
        connections.clear();
        openTransactions.clear();
        queue.clear();
        awaits.clear();
        running = 0;
    }

    void fence(long term) {
        if (term > promisedTerm) {
            promisedTerm = term;
            primary = false;
            answerDueAwaits();
        }
    }

    void promote(long term) {
        promisedTerm = term;
        primary = true;
        append(new Entry(term, null, List.of(), false));
    }

    /**
     * Replicates the log of the primary: truncates a divergent suffix and copies up to {@code
     * limit} entries.
     */
    void fetch(FakeEndpoint from, int limit) {
        fence(from.promisedTerm);
        int common = Math.min(log.size(), from.log.size());
        while (common > 0 && !log.get(common - 1).equals(from.log.get(common - 1))) {
            common--;
        }
        if (common < log.size()) {
            List<Entry> kept = new ArrayList<>(log.subList(0, common));
            log.clear();
            history = TermHistory.EMPTY;
            records = new TreeMap<>();
            lastChange.clear();
            kept.forEach(this::append);
        }
        for (int i = common; i < Math.min(from.log.size(), common + limit); i++) {
            append(from.log.get(i));
        }
        answerDueAwaits();
    }

    private void append(Entry entry) {
        log.add(entry);
        if (entry.identity() == null) {
            history = history.with(new TermStart(entry.term(), log.size()));
        }
        if (!entry.cancelled()) {
            for (Operation operation : entry.operations()) {
                apply(records, operation);
                if (operation.writes()) {
                    lastChange.put(operation.target(), log.size());
                }
            }
        }
        answerDueAwaits();
    }

    private static void apply(Map<String, String> records, Operation operation) {
        if (operation instanceof Operation.Put put) {
            records.put(put.key(), put.value());
        } else if (operation instanceof Operation.Delete delete) {
            records.remove(delete.key());
        } else if (operation instanceof Operation.Increment increment) {
            long before = Long.parseLong(records.getOrDefault(increment.key(), "0"));
            records.put(increment.key(), Long.toString(before + increment.delta()));
        }
    }

    /**
     * Returns the records that the operations read, including earlier changes of the same
     * transaction.
     */
    private List<ReadRecord> read(List<Operation> before, List<Operation> operations) {
        Map<String, String> view = new TreeMap<>(records);
        before.forEach(operation -> apply(view, operation));
        List<ReadRecord> result = new ArrayList<>();
        for (Operation operation : operations) {
            apply(view, operation);
            if (operation instanceof Operation.Get get) {
                result.add(new ReadRecord(get.key(), Option.of(view.get(get.key()))));
            }
        }
        return result;
    }

    /** Handles a call. */
    void call(long connection, EndpointCall call, Consumer<EndpointAnswer> reply) {
        if (call instanceof EndpointCall.Ping) {
            reply.accept(new EndpointAnswer.StatusReport(status()));
        } else if (call instanceof EndpointCall.Status status) {
            long until = time.now() + status.waitMicros() * 1000;
            awaits.add(new Await(status.awaited(), until, reply));
            time.at(until, this::answerDueAwaits);
            answerDueAwaits();
        } else if (call instanceof EndpointCall.Reset) {
            openTransactions.remove(connection);
            reply.accept(new EndpointAnswer.ResetDone());
        } else {
            queue.addLast(new Waiting(connection, call, time.now(), reply));
            startQueued();
        }
    }

    private void answerDueAwaits() {
        List<Await> due =
                awaits.stream()
                        .filter(
                                a ->
                                        status().contains(a.position())
                                                || (promisedTerm > a.position().term()
                                                        && a.position().index() > 0)
                                                || time.now() >= a.until())
                        .toList();
        awaits.removeAll(due);
        due.forEach(a -> a.reply().accept(new EndpointAnswer.StatusReport(status())));
    }

    private void startQueued() {
        while (running < slots && !queue.isEmpty()) {
            Waiting next = queue.removeFirst();
            running++;
            long startedAt = time.now();
            time.at(
                    startedAt + serviceMicros(next.call()) * 1000,
                    () -> {
                        if (down) {
                            return;
                        }
                        running = Math.max(0, running - 1);
                        long queued = (startedAt - next.arrivedAt()) / 1000;
                        next.reply().accept(execute(next.connection(), next.call(), queued));
                        startQueued();
                    });
        }
    }

    private static long serviceMicros(EndpointCall call) {
        if (call instanceof EndpointCall.Read read) {
            return read.serviceMicros();
        }
        if (call instanceof EndpointCall.Write write) {
            return write.serviceMicros();
        }
        return call instanceof EndpointCall.InTransaction in ? in.serviceMicros() : 200;
    }

    private EndpointAnswer execute(long connection, EndpointCall call, long queued) {
        if (call instanceof EndpointCall.Read read) {
            return result(read(List.of(), read.operations()), last(), false, queued);
        }
        if (call instanceof EndpointCall.Write write) {
            EndpointAnswer refusal = checkTerm(write.term());
            return refusal != null ? refusal : commit(write.identity(), write.operations(), queued);
        }
        if (call instanceof EndpointCall.Resolve resolve) {
            EndpointAnswer refusal = checkTerm(resolve.term());
            return refusal != null ? refusal : resolve(resolve.identity());
        }
        if (call instanceof EndpointCall.Begin begin) {
            EndpointAnswer refusal = checkTerm(begin.term());
            if (refusal == null) {
                openTransactions.put(connection, new Transaction(++lastTransaction, log.size()));
                return new EndpointAnswer.Began(lastTransaction);
            }
            return refusal;
        }
        return inTransaction(connection, call, queued);
    }

    private EndpointAnswer inTransaction(long connection, EndpointCall call, long queued) {
        Transaction transaction = openTransactions.get(connection);
        if (!primary) {
            return refused(RefusalKind.NOT_PRIMARY, 0);
        }
        if (call instanceof EndpointCall.InTransaction in) {
            if (transaction == null || transaction.id != in.transaction()) {
                return refused(RefusalKind.UNKNOWN_TRANSACTION, 0);
            }
            List<ReadRecord> seen = read(transaction.operations, in.operations());
            in.operations().forEach(o -> transaction.touched.add(o.target()));
            transaction.operations.addAll(
                    in.operations().stream().filter(Operation::writes).toList());
            return result(seen, last(), false, queued);
        }
        EndpointCall.Commit commit = (EndpointCall.Commit) call;
        if (transaction == null || transaction.id != commit.transaction()) {
            return refused(RefusalKind.UNKNOWN_TRANSACTION, 0);
        }
        openTransactions.remove(connection);
        boolean conflict =
                transaction.touched.stream()
                        .anyMatch(k -> lastChange.getOrDefault(k, 0) > transaction.snapshot);
        return conflict && findEntry(commit.identity().key(), false) == 0
                ? refused(RefusalKind.CONFLICT, 0)
                : commit(commit.identity(), transaction.operations, queued);
    }

    private EndpointAnswer checkTerm(long term) {
        if (term < promisedTerm) {
            return refused(RefusalKind.FENCED, 0);
        }
        return primary && term == promisedTerm ? null : refused(RefusalKind.NOT_PRIMARY, 0);
    }

    /** Returns the index of the newest write entry or cancellation mark of a key, or 0. */
    private int findEntry(String key, boolean cancelled) {
        for (int i = log.size(); i > 0; i--) {
            Entry entry = log.get(i - 1);
            if (entry.identity() != null
                    && entry.identity().key().equals(key)
                    && entry.cancelled() == cancelled) {
                return i;
            }
        }
        return 0;
    }

    private Position positionAt(int index) {
        return new Position(log.get(index - 1).term(), index);
    }

    private EndpointAnswer commit(WriteIdentity identity, List<Operation> operations, long queued) {
        int executed = findEntry(identity.key(), false);
        if (executed > 0) {
            return result(List.of(), positionAt(executed), true, queued);
        }
        int cancellation = findEntry(identity.key(), true);
        if (cancellation > 0
                && log.get(cancellation - 1).identity().attempt() >= identity.attempt()) {
            return refused(RefusalKind.CANCELLED, log.get(cancellation - 1).identity().attempt());
        }
        List<ReadRecord> seen = read(List.of(), operations);
        append(new Entry(promisedTerm, identity, List.copyOf(operations), false));
        return result(seen, last(), false, queued);
    }

    private EndpointAnswer resolve(WriteIdentity identity) {
        int executed = findEntry(identity.key(), false);
        if (executed > 0) {
            return new EndpointAnswer.Resolved(true, positionAt(executed));
        }
        int cancellation = findEntry(identity.key(), true);
        if (cancellation == 0
                || log.get(cancellation - 1).identity().attempt() < identity.attempt()) {
            append(new Entry(promisedTerm, identity, List.of(), true));
            cancellation = log.size();
        }
        return new EndpointAnswer.Resolved(false, positionAt(cancellation));
    }

    private EndpointAnswer result(
            List<ReadRecord> records, Position position, boolean duplicate, long queued) {
        return new EndpointAnswer.Result(records, position, duplicate, queued, queue.size());
    }

    private EndpointAnswer refused(RefusalKind kind, int attempt) {
        return new EndpointAnswer.Refused(kind, "refused", promisedTerm, attempt);
    }
}
