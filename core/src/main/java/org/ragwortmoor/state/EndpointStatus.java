package org.ragwortmoor.state;

/**
 * What an endpoint states about itself at one moment.
 *
 * @param promisedTerm the endpoint refuses everything of lower terms
 * @param primary whether it is the primary of its promised term
 * @param last end of its log
 * @param history terms that wrote its log
 * @param running statements being executed, at most its slots
 * @param queued statements waiting for a slot
 * @param connections open connections of proxies
 * @param leaving whether it announced that it is leaving
 * @param incarnation random number that changes when the endpoint lost its data; 0 if not stated
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

    /** Creates a status that does not state the incarnation. */
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
     * <p>The last entry must be of that term as well: an older entry, copied by a new primary, can
     * still be discarded by a later promotion.
     */
    public boolean holds(Position position, long term) {
        return promisedTerm == term && last.term() == term && contains(position);
    }
}
