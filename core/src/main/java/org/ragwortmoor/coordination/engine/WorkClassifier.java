package org.ragwortmoor.coordination.engine;

/** Estimates service times from work labels. */
interface WorkClassifier {
    /** Returns the class of work with this label. */
    WorkClass classify(String label);

    /** Returns the expected service time in nanoseconds; 0 if unknown. */
    long expectedNanos(String label);

    /** Updates the estimate with a measured service time. */
    void recordServiceTime(String label, long serviceNanos);
}
