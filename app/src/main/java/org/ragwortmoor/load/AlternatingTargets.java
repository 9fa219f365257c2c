package org.ragwortmoor.load;

import java.io.IOException;
import java.util.List;
import java.util.function.ToDoubleBiFunction;

/**
 * Two deployments that run beside each other and are loaded in turn; the order within a pair
 * alternates, so that a drift of the machine does not favour one of them.
 */
final class AlternatingTargets implements AutoCloseable {
    private final EmbeddedTarget product;
    private final EmbeddedTarget baseline;

    private AlternatingTargets(EmbeddedTarget product, EmbeddedTarget baseline) {
        this.product = product;
        this.baseline = baseline;
    }

    static AlternatingTargets start(MeasureRun run, boolean replicaReads, boolean classes)
            throws IOException {
        List<String> groups = run.oneGroup();
        EmbeddedTarget product = run.start(groups, true, true);
        try {
            return new AlternatingTargets(product, run.start(groups, replicaReads, classes));
        } catch (IOException | RuntimeException e) {
            product.close();
            throw e;
        }
    }

    /** Runs both halves of pair {@code number} with the same seed. */
    MeasureRun.Pair pair(int number, ToDoubleBiFunction<LoadTarget, Boolean> half) {
        if (number % 2 == 1) {
            double first = half.applyAsDouble(product, true);
            return new MeasureRun.Pair(first, half.applyAsDouble(baseline, false));
        }
        double first = half.applyAsDouble(baseline, false);
        return new MeasureRun.Pair(half.applyAsDouble(product, true), first);
    }

    EmbeddedTarget product() {
        return product;
    }

    EmbeddedTarget baseline() {
        return baseline;
    }

    @Override
    public void close() {
        product.close();
        baseline.close();
    }
}
