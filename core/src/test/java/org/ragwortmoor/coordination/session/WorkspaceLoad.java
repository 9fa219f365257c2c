package org.ragwortmoor.coordination.session;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.IntStream;

/**
 * Operations of workspaces of skewed size that arrive at random times at random proxies, whatever
 * has become of earlier ones.
 */
final class WorkspaceLoad {
    private static final double ZIPF_EXPONENT = 1.2;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Time after which every operation has ended; the longest timeout is 1 s. */
    private static final long ANSWER_MILLIS = 6_000;

    private final WorkspaceDeployment deployment;
    private final SplittableRandom random;
    private final double[] cumulativeSizes;
    private final List<Result> results = new ArrayList<>();
    private int numbers;

    /** A kind of operation: what is sent, and the objective for its latency. */
    private enum Kind {
        PRIMARY_READ("strong", "READ p", 11, 250),
        WRITE("strong", "WRITE w 1", 11, 250),
        OWN("own", "READ o", 33, 500),
        BOUNDED("bounded", "READ b", 55, 1_500),
        TRANSACTION("strong", "READ t", 11, 250);

        private final String database;
        private final String text;
        private final int workMillis;
        private final int objectiveMillis;

        Kind(String database, String text, int workMillis, int objectiveMillis) {
            this.database = database;
            this.text = text;
            this.workMillis = workMillis;
            this.objectiveMillis = objectiveMillis;
        }
    }

    /** An operation and what became of it. */
    static final class Result {
        final int workspace;
        private final Kind kind;
        private final long startedAt;
        private String outcome = "";
        private long nanos;

        Result(int workspace, Kind kind, long startedAt) {
            this.workspace = workspace;
            this.kind = kind;
            this.startedAt = startedAt;
        }

        boolean served() {
            return outcome.equals("ok");
        }

        boolean inTime() {
            return served() && millis() <= kind.objectiveMillis;
        }

        double millis() {
            return nanos / 1e6;
        }
    }

    WorkspaceLoad(WorkspaceDeployment deployment, int workspaces, long seed) {
        this.deployment = deployment;
        this.random = new SplittableRandom(seed);
        double[] sizes =
                IntStream.rangeClosed(1, workspaces)
                        .mapToDouble(rank -> Math.pow(rank, -ZIPF_EXPONENT))
                        .toArray();
        Arrays.parallelPrefix(sizes, Double::sum);
        cumulativeSizes = sizes;
        deployment.servers.forEach(s -> s.load.setStatementMillis(WorkspaceLoad::workMillis));
    }

    private static int workMillis(String text) {
        for (Kind kind : Kind.values()) {
            if (text.equals(kind.text)) {
                return kind.workMillis;
            }
        }
        return 1;
    }

    static String name(int workspace) {
        return "workspace-" + workspace;
    }

    /**
     * Sends operations for some time, and waits for the answers.
     *
     * @param perSecond mean operations per second
     * @param largestFactor what the size of the largest workspace is multiplied with
     */
    void run(double perSecond, double largestFactor, long millis) {
        start(perSecond, largestFactor, millis);
        deployment.host.advance(millis + ANSWER_MILLIS);
    }

    /** Starts to send operations, which the host carries on with as time advances. */
    void start(double perSecond, double largestFactor, long millis) {
        long end = deployment.host.now() + millis * 1_000_000;
        double excess = largestFactor * share(0) - share(0);
        scheduleNext(perSecond * (1 + excess), excess / (1 + excess), end);
    }

    /** Returns the part of a workspace in all operations. */
    double share(int workspace) {
        double before = workspace == 0 ? 0 : cumulativeSizes[workspace - 1];
        return (cumulativeSizes[workspace] - before) / cumulativeSizes[cumulativeSizes.length - 1];
    }

    private void scheduleNext(double perSecond, double extraOfLargest, long end) {
        DoubleUnaryOperator exponential = u -> -Math.log(1 - u) / perSecond;
        double pause = exponential.applyAsDouble(random.nextDouble()) * MILLIS_PER_SECOND;
        long at = deployment.host.now() + (long) (pause * 1e6);
        if (at - end < 0) {
            deployment.host.schedule(
                    at,
                    () -> {
                        send(random.nextDouble() < extraOfLargest ? 0 : drawWorkspace());
                        scheduleNext(perSecond, extraOfLargest, end);
                    });
        }
    }

    private int drawWorkspace() {
        double drawn = random.nextDouble() * cumulativeSizes[cumulativeSizes.length - 1];
        int at = Arrays.binarySearch(cumulativeSizes, drawn);
        return at >= 0 ? at : -at - 1;
    }

    private void send(int workspace) {
        List<String> proxies = List.copyOf(deployment.engines.keySet());
        SessionEngine engine = deployment.engine(proxies.get(random.nextInt(proxies.size())));
        Kind kind = drawKind();
        Result result = new Result(workspace, kind, deployment.host.now());
        results.add(result);
        String id = name(workspace) + "#" + ++numbers;
        WorkspaceCaller[] caller = new WorkspaceCaller[1];
        int[] left = {kind == Kind.TRANSACTION ? 2 : 0};
        caller[0] =
                new WorkspaceCaller(
                        engine,
                        name(workspace),
                        (statement, outcome) -> {
                            if (outcome.equals("ok") && left[0] > 0) {
                                String text = --left[0] == 0 ? "COMMIT" : kind.text;
                                deployment.host.afterMillis(
                                        10,
                                        () ->
                                                caller[0].send(
                                                        id + "." + left[0], text, kind.database));
                            } else {
                                result.outcome = outcome;
                                result.nanos = deployment.host.now() - result.startedAt;
                            }
                        });
        if (kind == Kind.TRANSACTION) {
            caller[0].begin(kind.database, false);
        }
        caller[0].send(id, kind.text, kind.database);
    }

    private Kind drawKind() {
        int drawn = random.nextInt(100);
        return drawn < 20
                ? Kind.PRIMARY_READ
                : drawn < 30
                        ? Kind.WRITE
                        : drawn < 65 ? Kind.OWN : drawn < 90 ? Kind.BOUNDED : Kind.TRANSACTION;
    }

    List<Result> results() {
        return results;
    }
}
