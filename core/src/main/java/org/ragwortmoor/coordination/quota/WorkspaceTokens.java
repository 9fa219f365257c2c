package org.ragwortmoor.coordination.quota;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.coordination.workspace.OperationGate.Listener;
import org.ragwortmoor.coordination.workspace.OperationGate.Operation;

/** The tokens of a workspace that a proxy holds, and the operations that wait for one. */
final class WorkspaceTokens {
    private final String name;
    private final long useNanos;
    private final DemandAverage demand = new DemandAverage();
    private final UseHistory recentUses = new UseHistory();
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    private double operationsPerWindow = Double.MAX_VALUE;
    private boolean limited;
    private long limitRevision;
    private long adopted;
    private Totals totals = new Totals(0, 0, 0);
    private Totals confirmed = totals;
    private Option<Long> exhaustedUntil = Option.none();

    /** Totals since the proxy adopted the epoch. */
    record Totals(long granted, long used, long returned) {}

    /** An operation that waits for a token. */
    record Waiting(Operation operation, Listener listener) {}

    WorkspaceTokens(String name, long useNanos) {
        this.name = name;
        this.useNanos = useNanos;
    }

    boolean limited() {
        return limited;
    }

    /**
     * Sets the limit. If it is lower than before, the tokens that were granted under the earlier
     * one are returned, so that windows that begin later contain no use of them.
     */
    void setLimit(double operations, long revision) {
        if (!limited || operations < operationsPerWindow) {
            limitRevision = revision;
            returnTokens(available());
        }
        limited = true;
        operationsPerWindow = operations;
    }

    /** Removes the limit and returns the operations that wait, which may start. */
    List<Waiting> removeLimit() {
        limited = false;
        returnTokens(available());
        exhaustedUntil = Option.none();
        return takeWaiting();
    }

    long available() {
        return adopted + totals.granted() - totals.used() - totals.returned();
    }

    Totals totals() {
        return totals;
    }

    /** Counts an operation for the expected demand. */
    void countDemand(long now) {
        demand.add(now);
    }

    /** Uses a token; returns false if none is held. */
    boolean use(long now) {
        if (available() <= 0) {
            return false;
        }
        totals = new Totals(totals.granted(), totals.used() + 1, totals.returned());
        recentUses.add(1, now + useNanos);
        return true;
    }

    /** Returns the time until the leader expects tokens; 0 if it has not said that it has none. */
    long nanosExhausted(long now) {
        return exhaustedUntil.map(until -> Math.max(0, until - now)).getOrElse(0L);
    }

    Waiting enqueue(Operation operation, Listener listener) {
        Waiting entry = new Waiting(operation, listener);
        waiting.add(entry);
        return entry;
    }

    /** Removes an operation that waits; returns false if it does not wait any more. */
    boolean cancel(Waiting entry) {
        return waiting.removeIf(w -> w == entry);
    }

    boolean anyWaiting() {
        return !waiting.isEmpty();
    }

    /** Returns the operations that wait, which are then no longer waiting. */
    List<Waiting> takeWaiting() {
        List<Waiting> taken = new ArrayList<>(waiting);
        waiting.clear();
        return taken;
    }

    /** Returns the operations that wait and for which a token is held. */
    List<Waiting> takeCovered(long now) {
        List<Waiting> covered = new ArrayList<>();
        while (!waiting.isEmpty() && use(now)) {
            covered.add(waiting.poll());
        }
        return covered;
    }

    /** Applies a grant of the current epoch; grants that arrive late change nothing. */
    void grant(QuotaGrant grant, long routesRevision, long now) {
        long added = Math.max(0, grant.grantedTotal() - totals.granted());
        totals = new Totals(totals.granted() + added, totals.used(), totals.returned());
        if (!limited || routesRevision < limitRevision) {
            returnTokens(added);
        }
        int retry = grant.retryAfterMillis();
        exhaustedUntil = Option.when(retry > 0, () -> now + TimeUnit.MILLISECONDS.toNanos(retry));
    }

    /** Starts a new epoch with the tokens that are held. */
    void adoptEpoch() {
        adopted = available();
        totals = new Totals(0, 0, 0);
        confirmed = totals;
    }

    /** Drops all tokens, because the lease on them has ended. */
    void lapse() {
        adopted = 0;
        totals = new Totals(0, 0, 0);
        confirmed = totals;
        recentUses.clear();
        exhaustedUntil = Option.none();
    }

    /** Records totals that the leader has confirmed. */
    void confirm(Totals reported) {
        confirmed =
                new Totals(
                        Math.max(confirmed.granted(), reported.granted()),
                        Math.max(confirmed.used(), reported.used()),
                        Math.max(confirmed.returned(), reported.returned()));
    }

    /** Returns tokens that are not needed; then the usage, if the report has to contain it. */
    Option<WorkspaceUsage> usage(boolean joining, long now) {
        int wanted = limited ? demand.tokens(now) : 0;
        if (available() > wanted + wanted / 2) {
            returnTokens(available() - wanted);
        }
        long recent = joining ? recentUses.total(now) : 0;
        long missing = wanted - available();
        boolean requests = anyWaiting() || missing >= Math.max(1, wanted / 4);
        boolean changed = !totals.equals(confirmed) || (joining && (recent > 0 || available() > 0));
        return Option.when(
                requests || changed,
                () ->
                        new WorkspaceUsage(
                                name,
                                totals.used(),
                                totals.returned(),
                                (int) available(),
                                (int) recent,
                                waiting.size(),
                                wanted));
    }

    private void returnTokens(long count) {
        totals = new Totals(totals.granted(), totals.used(), totals.returned() + count);
    }

    @Override
    public String toString() {
        return "quota workspace="
                + name
                + " available="
                + available()
                + " waiting="
                + waiting.size()
                + " limit_per_window="
                + operationsPerWindow;
    }
}
