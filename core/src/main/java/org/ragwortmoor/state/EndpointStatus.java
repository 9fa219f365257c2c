package org.ragwortmoor.state;

/**
 * The status of an endpoint at one point in time.
 *
 * @param promisedTerm highest term that the endpoint has promised; it refuses calls of lower terms
 * @param primary whether it is the primary of its promised term
 * @param last position of the last entry in its log
 * @param history terms that wrote to its log
 * @param running number of statements being executed, at most its slots
 * @param queued number of statements waiting for a slot
 * @param connections number of open connections from proxies
 * @param leaving whether it announced that it is leaving
 * @param incarnation random number that changes when the endpoint loses its data; 0 if unknown
 */
public record EndpointStatus(
        long promisedTerm,
        boolean primary,
        Position last,
        TermHistory history,
        int running,
        int queued,
        int connections,
        boolean leaving,
        long incarnation) {

    /** Creates a status with an unknown incarnation. */
    public EndpointStatus(
            long promisedTerm,
            boolean primary,
            Position last,
            TermHistory history,
            int running,
            int queued,
            int connections,
            boolean leaving) {
        this(promisedTerm, primary, last, history, running, queued, connections, leaving, 0);
    }

    /** Returns this status with the incarnation of the endpoint. */
    public EndpointStatus withIncarnation(long number) {
        return new EndpointStatus(
                promisedTerm,
                primary,
                last,
                history,
                running,
                queued,
                connections,
                leaving,
                number);
    }

    /** Returns whether the log contains {@code position}. */
    public boolean contains(Position position) {
        return history.contains(last, position);
    }

    /**
     * Returns whether the endpoint holds {@code position} under {@code term}.
     *
     * <p>The last entry must be of that term as well: an entry of an older term that a new primary
     * has copied can still be discarded by a later promotion.
     */
    public boolean holds(Position position, long term) {
        return promisedTerm == term && last.term() == term && contains(position);
    }
}
