package org.ragwortmoor.state.directory;

import java.util.List;

/**
 * What the directory records of the replication of a group.
 *
 * @param suspended whether replicas may be suspended by a failover that has not ended
 * @param departures ended servers whose commits other servers are not known to hold, oldest first
 */
public record GroupReplication(boolean suspended, List<Departure> departures) {
    /** The replication of a group that no failover has suspended and no server has left. */
    public static final GroupReplication UNDISTURBED = new GroupReplication(false, List.of());

    /** Maximum number of departures that are kept; more block a promotion just as well. */
    private static final int MAX_DEPARTURES = 16;

    GroupReplication withSuspended(boolean changed) {
        return new GroupReplication(changed, departures);
    }

    /** Adds an ended server, unless it is recorded or too many are. */
    GroupReplication withDeparture(Departure departure) {
        boolean recorded =
                departures.stream()
                        .anyMatch(
                                d ->
                                        d.server().equals(departure.server())
                                                && d.startedAtMillis()
                                                        == departure.startedAtMillis());
        if (recorded || departures.size() >= MAX_DEPARTURES) {
            return this;
        }
        return new GroupReplication(
                suspended,
                io.vavr.collection.List.ofAll(departures).append(departure).toJavaList());
    }

    /** Removes the departures up to a log index, whose commits other servers hold. */
    GroupReplication withConfirmedThrough(long index) {
        return new GroupReplication(
                suspended, departures.stream().filter(d -> d.index() > index).toList());
    }
}
