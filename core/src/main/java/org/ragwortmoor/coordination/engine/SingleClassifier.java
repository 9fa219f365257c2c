package org.ragwortmoor.coordination.engine;

/** Baseline: all work is short and of unknown length. */
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
    public void served(String label, long serviceNanos) {
        // The baseline learns nothing.
    }
}
