package org.ragwortmoor.coordination.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/** A closed-loop client: one session that sends requests through random proxies. */
final class HistoryClient {
    private static final long MILLI = VirtualTime.MILLI;
    private static final int COUNTERS = 3;

    private final FakeGroup group;
    private final History history;
    private final Random random;
    private final String session;
    private final long until;
    private Position position = Position.ZERO;
    private int sequence;
    long positionsLost;
    long lateAnswers;

    HistoryClient(FakeGroup group, History history, String session, long until, long seed) {
        this.group = group;
        this.history = history;
        this.session = session;
        this.until = until;
        this.random = new Random(seed);
        group.time.after(random.nextInt(50_000_000), this::next);
    }

    private void next() {
        if (group.time.now() > until) {
            return;
        }
        int kind = random.nextInt(10);
        if (kind < 4) {
            read();
        } else if (kind < 8) {
            List<Operation> operations = List.of(new Operation.Increment(counter(), 1));
            write(key(), operations, 1, false);
        } else {
            begin();
        }
    }

    private void scheduleNext() {
        group.time.after(random.nextInt(20_000_000), this::next);
    }

    private String counter() {
        return "c" + random.nextInt(COUNTERS);
    }

    private String key() {
        return session + "-" + ++sequence;
    }

    private FakeGroup.Proxy proxy() {
        List<FakeGroup.Proxy> alive = group.proxies.stream().filter(p -> !p.dead).toList();
        return alive.get(random.nextInt(alive.size()));
    }

    private long deadline() {
        return group.time.now() + (100 + random.nextInt(900)) * MILLI;
    }

    /**
     * Sends a request; runs {@code onNoAnswer} if none arrives, for example because the proxy is
     * dead.
     */
    private void call(
            FakeGroup.Proxy proxy,
            CallerRequest request,
            java.util.function.Consumer<CallerAnswer> handler,
            Runnable onNoAnswer) {
        boolean[] answered = new boolean[1];
        proxy.call(
                request,
                answer -> {
                    if (answered[0]) {
                        return;
                    }
                    answered[0] = true;
                    if (group.time.now() > request.deadline() + MILLI) {
                        lateAnswers++;
                    }
                    if (answer instanceof CallerAnswer.NotRun refusal
                            && refusal.kind() == ErrorKind.POSITION_LOST) {
                        positionsLost++;
                    }
                    handler.accept(answer);
                });
        group.time.at(
                request.deadline() + 50 * MILLI,
                () -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        if (!proxy.dead) {
                            lateAnswers++;
                        }
                        onNoAnswer.run();
                    }
                });
    }

    private void advancePosition(Position next) {
        if (next.compareTo(position) > 0) {
            position = next;
        }
    }

    private void read() {
        ReadLevel level = List.of(ReadLevel.values()).get(random.nextInt(3));
        long age = level == ReadLevel.AGE ? (150 + random.nextInt(500)) * MILLI : 0;
        String counter = counter();
        Position before = random.nextInt(4) == 0 ? Position.ZERO : position;
        long invokedAt = group.time.now();
        CallerRequest.Read read =
                new CallerRequest.Read(
                        ++group.lastRequest,
                        session,
                        List.of(new Operation.Get(counter)),
                        level,
                        age,
                        before,
                        "read",
                        300,
                        deadline());
        call(
                proxy(),
                read,
                answer -> {
                    if (answer instanceof CallerAnswer.Done done) {
                        long value = Long.parseLong(done.records().get(0).value().getOrElse("0"));
                        history.reads.add(
                                new History.Read(
                                        level,
                                        age,
                                        invokedAt,
                                        group.time.now(),
                                        counter,
                                        value,
                                        done.position(),
                                        before));
                        advancePosition(done.position());
                    }
                    scheduleNext();
                },
                this::scheduleNext);
    }

    private void write(String key, List<Operation> operations, int attempt, boolean inDoubt) {
        History.Write write = history.write(key, operations, group.time.now());
        CallerRequest.Write request =
                new CallerRequest.Write(
                        ++group.lastRequest,
                        session,
                        operations,
                        new WriteIdentity(key, attempt),
                        random.nextBoolean(),
                        "write",
                        500,
                        deadline());
        call(
                proxy(),
                request,
                answer -> handleWriteAnswer(write, answer, inDoubt),
                () -> handleWriteAnswer(write, null, inDoubt));
    }

    /**
     * Handles the answer to a write or commit. If an earlier send is in doubt, a refusal does not
     * mean "not run".
     */
    private void handleWriteAnswer(History.Write write, CallerAnswer answer, boolean inDoubt) {
        if (answer instanceof CallerAnswer.Done done) {
            write.done(done.position(), group.time.now());
            advancePosition(done.position());
            scheduleNext();
        } else if (answer instanceof CallerAnswer.NotRun && !inDoubt) {
            write.outcome = History.Outcome.NOT_RUN;
            scheduleNext();
        } else if (random.nextInt(3) == 0) {
            scheduleNext();
        } else if (random.nextInt(3) == 0 && !write.key.contains("tx")) {
            write(write.key, write.operations, 1, true);
        } else {
            resolve(write);
        }
    }

    private void resolve(History.Write write) {
        CallerRequest.Resolve resolve =
                new CallerRequest.Resolve(
                        ++group.lastRequest, session, new WriteIdentity(write.key, 1), deadline());
        call(
                proxy(),
                resolve,
                answer -> {
                    if (answer instanceof CallerAnswer.NotRun) {
                        write.outcome = History.Outcome.NOT_RUN;
                        if (random.nextBoolean() && !write.key.contains("tx")) {
                            write.outcome = History.Outcome.UNKNOWN;
                            write(write.key, write.operations, 1, true);
                            return;
                        }
                    } else if (answer instanceof CallerAnswer.Done done) {
                        write.done(done.position(), group.time.now());
                        advancePosition(done.position());
                    }
                    scheduleNext();
                },
                this::scheduleNext);
    }

    private void begin() {
        FakeGroup.Proxy proxy = proxy();
        long end = group.time.now() + 800 * MILLI;
        CallerRequest.Begin begin =
                new CallerRequest.Begin(++group.lastRequest, session, end, deadline());
        call(
                proxy,
                begin,
                answer -> {
                    if (answer instanceof CallerAnswer.Done done) {
                        statement(proxy, done.transaction(), new ArrayList<>());
                    } else {
                        scheduleNext();
                    }
                },
                this::scheduleNext);
    }

    private void statement(FakeGroup.Proxy proxy, String transaction, List<Operation> sent) {
        if (sent.size() == 2) {
            commit(proxy, transaction, sent);
            return;
        }
        Operation.Increment increment = new Operation.Increment(counter(), 1);
        sent.add(increment);
        CallerRequest.InTransaction statement =
                new CallerRequest.InTransaction(
                        ++group.lastRequest,
                        session,
                        transaction,
                        List.of(increment),
                        300,
                        deadline());
        call(
                proxy,
                statement,
                answer -> {
                    if (!(answer instanceof CallerAnswer.Done)) {
                        scheduleNext();
                    } else if (random.nextInt(8) == 0) {
                        proxy.handle(new EngineEvent.CallerLost(session));
                        scheduleNext();
                    } else {
                        statement(proxy, transaction, sent);
                    }
                },
                this::scheduleNext);
    }

    private void commit(FakeGroup.Proxy proxy, String transaction, List<Operation> operations) {
        String key = key() + "-tx";
        History.Write write = history.write(key, List.copyOf(operations), group.time.now());
        CallerRequest.Commit commit =
                new CallerRequest.Commit(
                        ++group.lastRequest,
                        session,
                        transaction,
                        new WriteIdentity(key, 1),
                        deadline());
        call(
                proxy,
                commit,
                answer -> handleWriteAnswer(write, answer, false),
                () -> handleWriteAnswer(write, null, false));
    }
}
