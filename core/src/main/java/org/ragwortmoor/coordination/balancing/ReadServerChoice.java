package org.ragwortmoor.coordination.balancing;

/** Selects one of the servers that may serve a read. */
public interface ReadServerChoice {
    /**
     * Returns the index of the selected candidate.
     *
     * @param candidates at least one candidate
     * @param now time on the clock of the figures, in nanoseconds
     */
    int select(Candidates<?> candidates, long now);
}
