package org.ragwortmoor.coordination.engine;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Classifies work by the moving average and the estimated 95th percentile of the service time per
 * label.
 *
 * <p>A label is long if its average exceeds the threshold or its 95th percentile exceeds twice the
 * threshold. The estimates are an LRU cache: an evicted or unknown label is short.
 */
final class LabelClassifier implements WorkClassifier {
    private static final double SMOOTHING = 0.2;
    private static final double QUANTILE = 0.95;

    /** Relative step size of the percentile estimate per sample. */
    private static final double QUANTILE_STEP = 0.1;

    private final long longAfterNanos;
    private final Map<String, Estimate> estimates;

    LabelClassifier(long longAfterNanos, int maxLabels) {
        this.longAfterNanos = longAfterNanos;
        this.estimates =
                new LinkedHashMap<>(16, 0.75f, true) {
                    private static final long serialVersionUID = 1L;

                    @Override
                    protected boolean removeEldestEntry(Map.Entry<String, Estimate> eldest) {
                        return size() > maxLabels;
                    }
                };
    }

    private static final class Estimate {
        private double average;
        private double percentile;

        private Estimate(double first) {
            average = first;
            percentile = first;
        }

        private void update(double value) {
            average += SMOOTHING * (value - average);
            double step = QUANTILE_STEP * Math.max(percentile, 1);
            percentile += value > percentile ? step * QUANTILE : -step * (1 - QUANTILE);
        }
    }

    @Override
    public WorkClass classify(String label) {
        Estimate estimate = estimates.get(label);
        if (estimate == null) {
            return WorkClass.SHORT;
        }
        boolean isLong =
                estimate.average > longAfterNanos || estimate.percentile > 2.0 * longAfterNanos;
        return isLong ? WorkClass.LONG : WorkClass.SHORT;
    }

    @Override
    public long expectedNanos(String label) {
        Estimate estimate = estimates.get(label);
        return estimate == null ? 0 : (long) estimate.average;
    }

    @Override
    public void recordServiceTime(String label, long serviceNanos) {
        Estimate estimate = estimates.get(label);
        if (estimate == null) {
            estimates.put(label, new Estimate(serviceNanos));
        } else {
            estimate.update((double) serviceNanos);
        }
    }

    int size() {
        return estimates.size();
    }
}
