package org.ragwortmoor.state.directory;

/**
 * The control group's record of a database server.
 *
 * @param id identifier that the server expects in every connection request
 * @param startedAtMillis start time of the server, in milliseconds since the epoch; together with
 *     the id it identifies an incarnation
 * @param group group of the server
 * @param address IP address and port
 * @param failureDomain failure domain in which the server runs
 * @param slots number of statements that it executes concurrently
 * @param state last announced state
 * @param primary whether it last announced itself as the primary
 * @param changedAt log index of the last change of this record
 */
public record ServerRecord(
        String id,
        long startedAtMillis,
        String group,
        String address,
        String failureDomain,
        int slots,
        ServerState state,
        boolean primary,
        long changedAt) {
    /** Returns this record with another state. */
    public ServerRecord withState(ServerState changed) {
        return new ServerRecord(
                id,
                startedAtMillis,
                group,
                address,
                failureDomain,
                slots,
                changed,
                primary,
                changedAt);
    }

    /** Returns this record with another role. */
    public ServerRecord withPrimary(boolean changed) {
        return new ServerRecord(
                id,
                startedAtMillis,
                group,
                address,
                failureDomain,
                slots,
                state,
                changed,
                changedAt);
    }

    /** Returns this record with {@code index} as the log index of its last change. */
    public ServerRecord changedAt(long index) {
        return new ServerRecord(
                id, startedAtMillis, group, address, failureDomain, slots, state, primary, index);
    }

    /** Returns whether both records are equal except for {@code changedAt}. */
    public boolean sameAs(ServerRecord other) {
        return changedAt(0).equals(other.changedAt(0));
    }
}
