package org.ragwortmoor.coordination.engine;

/** Baseline classifier: all work is short and of unknown service time. */
final class SingleClassifier implements WorkClassifier {
    @Override
    public WorkClass classify(String label) {
        return WorkClass.SHORT;
    }

    @Override
    public long expectedNanos(String label) {
        return 0;
    }

    @Override
    public void recordServiceTime(String label, long serviceNanos) {
        // The baseline keeps no estimates.
    }
}
