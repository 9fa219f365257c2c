package org.ragwortmoor.standin;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.Lineage;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointAnswer.Refused;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.endpoint.ReadRecord;
import org.ragwortmoor.state.endpoint.RefusalKind;
import org.ragwortmoor.state.endpoint.WriteIdentity;

/**
 * The deterministic part of the stand-in database: the state of one endpoint, without threads,
 * clocks or I/O other than the {@link Journal}.
 *
 * <p>Every method is atomic under one lock. Refusals are answers, and a refused call has had no
 * effect. Results carry no queueing figures; the server fills them in. If the journal fails, its
 * exception passes to the caller and memory stays unchanged.
 */
public final class StandinDatabase {
    private final Object lock = new Object();
    private final Journal journal;
    private final List<Runnable> listeners = new CopyOnWriteArrayList<>();

    @GuardedBy("lock")
    private final EndpointLog log;

    @GuardedBy("lock")
    private final Map<Long, Transaction> transactions = new HashMap<>();

    @GuardedBy("lock")
    private Promise promise;

    @GuardedBy("lock")
    private long lastTransaction;

    private record Transaction(long term, Execution execution) {}

    /** Creates the database of an endpoint with the recovered state. */
    public StandinDatabase(Journal journal, Recovered recovered) {
        this.journal = journal;
        this.promise = recovered.promise();
        this.log = new EndpointLog(journal, recovered.entries(), recovered.discarded());
    }

    /** Registers a listener that is called after each change of the log or the promise. */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /** Runs reads on the newest state of this endpoint, whatever its role. */
    public EndpointAnswer read(List<Operation> operations) {
        if (operations.stream().anyMatch(Operation::writes)) {
            return new Refused(
                    RefusalKind.BAD_REQUEST, "a read contains a write; send it as a write", 0, 0);
        }
        synchronized (lock) {
            Either<Refused, List<ReadRecord>> run =
                    run(new Execution(log.tables(), log.last().index()), operations);
            return run.isLeft() ? run.getLeft() : result(run.get(), log.last(), false);
        }
    }

    /** Runs operations as one transaction on the primary of {@code term}. */
    public EndpointAnswer write(long term, List<Operation> operations, WriteIdentity identity) {
        EndpointAnswer answer;
        synchronized (lock) {
            Option<EndpointAnswer> early =
                    Option.<EndpointAnswer>narrow(promise.refusal(term)).orElse(recorded(identity));
            if (early.isDefined()) {
                return early.get();
            }
            Execution execution = new Execution(log.tables(), log.last().index());
            Either<Refused, List<ReadRecord>> run = run(execution, operations);
            if (run.isLeft()) {
                return run.getLeft();
            }
            answer = append(execution, identity, run.get());
        }
        changed();
        return answer;
    }

    /** Begins a transaction on the primary of {@code term}; its reads see the present state. */
    public EndpointAnswer begin(long term) {
        synchronized (lock) {
            Option<Refused> refusal = promise.refusal(term);
            if (refusal.isDefined()) {
                return refusal.get();
            }
            lastTransaction++;
            transactions.put(
                    lastTransaction,
                    new Transaction(term, new Execution(log.tables(), log.last().index())));
            return new EndpointAnswer.Began(lastTransaction);
        }
    }

    /**
     * Runs operations within a transaction. A conflict ends the transaction; after any other
     * refusal it goes on without the refused statement.
     */
    public EndpointAnswer inTransaction(long transaction, List<Operation> operations) {
        synchronized (lock) {
            Option<Refused> refusal = transactionRefusal(transaction);
            if (refusal.isDefined()) {
                return refusal.get();
            }
            Transaction open = transactions.get(transaction);
            Execution next = open.execution().copy();
            Either<Refused, List<ReadRecord>> run = run(next, operations);
            if (next.conflicts()) {
                transactions.remove(transaction);
                return promise.conflict();
            }
            if (run.isLeft()) {
                return run.getLeft();
            }
            transactions.put(transaction, new Transaction(open.term(), next));
            return result(run.get(), log.last(), false);
        }
    }

    /** Validates and commits a transaction, which ends in any case. */
    public EndpointAnswer commit(long transaction, WriteIdentity identity) {
        EndpointAnswer answer;
        synchronized (lock) {
            Option<EndpointAnswer> early = Option.none();
            if (promise.primary()) {
                early = recorded(identity);
            }
            early = early.orElse(Option.narrow(transactionRefusal(transaction)));
            Transaction open = transactions.remove(transaction);
            if (early.isDefined()) {
                return early.get();
            }
            if (open.execution().conflicts()) {
                return promise.conflict();
            }
            answer = append(open.execution(), identity, List.of());
        }
        changed();
        return answer;
    }

    /** Ends a transaction without effect; does nothing if there is no such transaction. */
    public void rollback(long transaction) {
        synchronized (lock) {
            transactions.remove(transaction);
        }
    }

    /** Returns the recorded outcome of a write, or writes a cancellation mark for its attempt. */
    public EndpointAnswer resolve(long term, WriteIdentity identity) {
        EndpointAnswer answer;
        synchronized (lock) {
            Option<Refused> refusal =
                    promise.refusal(term).orElse(Outcome.keyRefusal(identity, promise));
            if (refusal.isDefined()) {
                return refusal.get();
            }
            Outcome outcome = log.tables().outcome(identity.key());
            if (outcome.executed().isDefined()) {
                return new EndpointAnswer.Resolved(true, outcome.executed().get().position());
            }
            if (outcome.cancelledAttempt() >= identity.attempt()) {
                return new EndpointAnswer.Resolved(false, outcome.cancelledAt());
            }
            LogEntry mark = log.write(promise.term(), new LogEntry.Cancelled(identity));
            answer = new EndpointAnswer.Resolved(false, mark.position());
        }
        changed();
        return answer;
    }

    /** Promises {@code term}; an endpoint that already promised it keeps its role. */
    public Option<Refused> fence(long term) {
        synchronized (lock) {
            if (term < promise.term()) {
                return Option.some(promise.fenced(term));
            }
            if (term == promise.term()) {
                return Option.none();
            }
            take(new Promise(term, false, ""));
        }
        changed();
        return Option.none();
    }

    /** Becomes the primary of {@code term} and writes the term-start entry; repeatable. */
    public Option<Refused> promote(long term) {
        synchronized (lock) {
            if (term < promise.term()) {
                return Option.some(promise.fenced(term));
            }
            if (term == promise.term() && promise.primary()) {
                return Option.none();
            }
            boolean follows = term == promise.term() && !promise.followed().isEmpty();
            if (term == 0 || follows || log.last().term() >= term) {
                return Option.some(
                        promise.refuse(
                                RefusalKind.BAD_REQUEST,
                                "term " + term + " already has a primary; begin a higher term"));
            }
            take(new Promise(term, true, ""));
            log.write(term, new LogEntry.TermStarted());
        }
        changed();
        return Option.none();
    }

    /** Becomes a replica of the primary of {@code term}; repeatable. */
    public Option<Refused> follow(long term, String primaryAddress) {
        synchronized (lock) {
            if (term < promise.term()) {
                return Option.some(promise.fenced(term));
            }
            if (term == promise.term() && promise.primary()) {
                return Option.some(
                        promise.refuse(
                                RefusalKind.BAD_REQUEST,
                                "this endpoint is the primary of term " + term));
            }
            Promise wanted = new Promise(term, false, primaryAddress);
            if (wanted.equals(promise)) {
                return Option.none();
            }
            take(wanted);
        }
        changed();
        return Option.none();
    }

    /** Answers a replica that promised {@code term} and whose log ends at {@code last}. */
    public FetchOutcome fetch(long term, Position last, int maxBytes) {
        synchronized (lock) {
            Option<Refused> refusal = promise.refusal(term);
            if (refusal.isDefined()) {
                return new FetchOutcome.Rejected(refusal.get());
            }
            if (log.contains(last)) {
                return new FetchOutcome.Entries(last, log.behind(last.index(), maxBytes));
            }
            return new FetchOutcome.Divergence(last, log.shared(last));
        }
    }

    /**
     * Applies what the primary of {@code term} answered to a fetch.
     *
     * @return whether it was applied; false if the endpoint has since promised a higher term or its
     *     log has changed
     */
    public boolean replicate(long term, FetchOutcome outcome) {
        synchronized (lock) {
            if (term != promise.term() || promise.primary()) {
                return false;
            }
            if (outcome instanceof FetchOutcome.Entries fetched) {
                if (!fetched.after().equals(log.last()) || !fetched.continuous(term)) {
                    return false;
                }
                fetched.entries().forEach(log::append);
            } else if (outcome instanceof FetchOutcome.Divergence divergence) {
                if (!divergence.last().equals(log.last())) {
                    return false;
                }
                log.truncate(log.shared(divergence.shared()).index());
            } else {
                return false;
            }
        }
        changed();
        return true;
    }

    /** Returns the status of this endpoint with the server's figures filled in. */
    public EndpointStatus status(int running, int queued, int connections, boolean leaving) {
        synchronized (lock) {
            return new EndpointStatus(
                    promise.term(),
                    promise.primary(),
                    log.last(),
                    log.history(),
                    running,
                    queued,
                    connections,
                    leaving);
        }
    }

    /** Returns how {@code position} relates to the log. */
    public Lineage relate(Position position) {
        synchronized (lock) {
            return log.history().relate(log.last(), position);
        }
    }

    /** Returns the promise. */
    public Promise promise() {
        synchronized (lock) {
            return promise;
        }
    }

    /** Returns the end of the log. */
    public Position last() {
        synchronized (lock) {
            return log.last();
        }
    }

    /** Returns the number of entries that were discarded because another log won a promotion. */
    public long discardedEntries() {
        synchronized (lock) {
            return log.discarded();
        }
    }

    /** Returns whether a transaction is open and can still be committed. */
    public boolean isOpen(long transaction) {
        synchronized (lock) {
            return transactionRefusal(transaction).isEmpty();
        }
    }

    /** Returns the refusal of a call that needs the primary of {@code term}, if any. */
    public Option<Refused> primaryRefusal(long term) {
        synchronized (lock) {
            return promise.refusal(term);
        }
    }

    @GuardedBy("lock")
    private void take(Promise next) {
        journal.promised(next);
        promise = next;
    }

    @GuardedBy("lock")
    private EndpointAnswer append(
            Execution execution, WriteIdentity identity, List<ReadRecord> results) {
        LogEntry entry =
                log.write(
                        promise.term(),
                        new LogEntry.Written(identity, execution.changes(), results));
        return result(results, entry.position(), false);
    }

    @GuardedBy("lock")
    private Option<EndpointAnswer> recorded(WriteIdentity identity) {
        return log.tables().outcome(identity.key()).recorded(identity, promise);
    }

    @GuardedBy("lock")
    private Option<Refused> transactionRefusal(long transaction) {
        Transaction open = transactions.get(transaction);
        if (open == null) {
            return Option.some(
                    promise.refuse(
                            RefusalKind.UNKNOWN_TRANSACTION,
                            "no transaction " + transaction + "; begin a new one"));
        }
        return promise.refusal(open.term());
    }

    @GuardedBy("lock")
    private Either<Refused, List<ReadRecord>> run(Execution execution, List<Operation> operations) {
        try {
            return Either.right(execution.run(operations));
        } catch (Execution.InvalidStatementException e) {
            return Either.left(promise.refuse(RefusalKind.BAD_REQUEST, e.getMessage()));
        }
    }

    private static EndpointAnswer result(
            List<ReadRecord> records, Position position, boolean duplicate) {
        return new EndpointAnswer.Result(records, position, duplicate, 0, 0);
    }

    private void changed() {
        listeners.forEach(Runnable::run);
    }
}
