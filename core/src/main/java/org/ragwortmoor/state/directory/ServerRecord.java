package org.ragwortmoor.state.directory;

/**
 * A database server as the control group knows it.
 *
 * @param id identity that the server expects in every connection
 * @param bornAtMillis the server's start, in milliseconds since the epoch; with the id it tells two
 *     incarnations apart
 * @param group group of the server
 * @param address IP number and port
 * @param zone failure domain
 * @param slots statements that it runs at a time
 * @param state the newest announced state
 * @param primary whether it last announced itself as the primary
 * @param changedAt log index of the newest change of this record
 */
public record ServerRecord(
        String id,
        long bornAtMillis,
        String group,
        String address,
        String zone,
        int slots,
        ServerState state,
        boolean primary,
        long changedAt) {
    /** Returns this record with another state. */
    public ServerRecord withState(ServerState changed) {
        return new ServerRecord(
                id, bornAtMillis, group, address, zone, slots, changed, primary, changedAt);
    }

    /** Returns this record with another role. */
    public ServerRecord withPrimary(boolean changed) {
        return new ServerRecord(
                id, bornAtMillis, group, address, zone, slots, state, changed, changedAt);
    }

    /** Returns this record as changed by the log entry {@code index}. */
    public ServerRecord changedAt(long index) {
        return new ServerRecord(
                id, bornAtMillis, group, address, zone, slots, state, primary, index);
    }

    /** Returns whether the other record says the same, apart from the time of its change. */
    public boolean sameAs(ServerRecord other) {
        return changedAt(0).equals(other.changedAt(0));
    }
}
