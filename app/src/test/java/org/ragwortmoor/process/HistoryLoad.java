package org.ragwortmoor.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.ragwortmoor.history.HistoryChecker;
import org.ragwortmoor.history.HistoryRecord;
import org.ragwortmoor.history.Outcome;
import org.ragwortmoor.history.RequestKind;
import org.ragwortmoor.load.Demand;
import org.ragwortmoor.load.FaultPlan;
import org.ragwortmoor.load.LoadRunner;
import org.ragwortmoor.load.LoadTarget;
import org.ragwortmoor.load.Workload;
import org.ragwortmoor.settings.Address;

/**
 * Many sessions with reads, writes and transactions on few records, whose whole history the {@link
 * HistoryChecker} judges. The test switches the faults while the load runs.
 */
final class HistoryLoad {
    private static final int SESSIONS = 48;

    /** Few records per kind, so that concurrent transactions conflict. */
    private static final int KEYS = 8;

    private static final double REQUESTS_PER_SECOND = 150;
    private static final long STATEMENT_MICROS = 2_000;
    private static final long MAX_AGE_MILLIS = 1_000;
    private static final Workload.Mix MIX = new Workload.Mix(40, 40, 50, 30, 10, 0);

    private final String name;
    private final CompletableFuture<LoadRunner.Run> run;

    private HistoryLoad(String name, CompletableFuture<LoadRunner.Run> run) {
        this.name = name;
        this.run = run;
    }

    /**
     * Starts a load.
     *
     * @param seed seed of the requests; loads on one deployment need different ones
     * @param millis length of the load, in milliseconds
     * @param deadlineMillis time within which the callers need an answer, in milliseconds
     */
    static HistoryLoad start(ProcessHarness harness, long seed, long millis, long deadlineMillis) {
        String name = "history-" + seed;
        Workload workload =
                new Workload(
                        seed,
                        name,
                        millis,
                        Demand.steady(REQUESTS_PER_SECOND),
                        SESSIONS,
                        KEYS,
                        MIX,
                        MAX_AGE_MILLIS,
                        STATEMENT_MICROS,
                        STATEMENT_MICROS,
                        deadlineMillis);
        Proxies target =
                new Proxies(
                        harness.proxyAddresses().stream()
                                .map(address -> Address.parse(address).get())
                                .toList());
        PrintStream silent = new PrintStream(OutputStream.nullOutputStream());
        return new HistoryLoad(
                name,
                CompletableFuture.supplyAsync(
                        () -> LoadRunner.run(workload, List.of(), target, silent)));
    }

    boolean ended() {
        return run.isDone();
    }

    /** Waits for the end of the load, checks its history and returns it. */
    List<HistoryRecord> finish() {
        List<HistoryRecord> history = run.join().history();
        assertThat(HistoryChecker.check(history)).as("violations in " + name).isEmpty();
        return history;
    }

    /** Returns the transactions that were acknowledged. */
    static List<HistoryRecord> committed(List<HistoryRecord> history) {
        return acknowledged(history).stream()
                .filter(r -> r.request().kind() == RequestKind.TRANSACTION)
                .toList();
    }

    /** Returns the writes and transactions that were acknowledged. */
    static List<HistoryRecord> acknowledged(List<HistoryRecord> history) {
        return history.stream()
                .filter(r -> r.answer().outcome() == Outcome.DONE)
                .filter(
                        r ->
                                r.request().kind() == RequestKind.TRANSACTION
                                        || r.request().kind() == RequestKind.WRITE)
                .toList();
    }

    /** The proxies of the deployment; faults are switched by the test. */
    private record Proxies(List<Address> proxies) implements LoadTarget {
        @Override
        public List<String> groups() {
            return List.of(ProcessHarness.GROUP);
        }

        @Override
        public String apply(FaultPlan fault) {
            throw new IllegalStateException("the test switches the faults");
        }

        @Override
        public void clear(FaultPlan fault) {
            throw new IllegalStateException("the test switches the faults");
        }

        @Override
        public void close() {
            // The deployment belongs to the test.
        }
    }
}
