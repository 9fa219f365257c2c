package org.ragwortmoor.state.directory;

import org.ragwortmoor.state.routes.RouteTable;

/** A command of the replicated directory. */
public sealed interface DirectoryCommand {
    /** Activates a route table unless the active one has the same or a higher version. */
    record PutRoutes(RouteTable table) implements DirectoryCommand {}

    /** Stores the announcement of a server. */
    record PutServer(ServerRecord server) implements DirectoryCommand {}

    /** Orders a promotion; its fencing token is the log index of this command. */
    record OrderPromotion(String group, String server, String holder) implements DirectoryCommand {}

    /** Records that the platform has confirmed the promotion with this fencing token. */
    record ConfirmPromotion(String group, long token) implements DirectoryCommand {}

    /** Records that a failover may suspend replicas of a group, or that none is suspended. */
    record RecordSuspension(String group, boolean suspended) implements DirectoryCommand {}

    /**
     * Records that the present servers of a group hold the commits of all servers whose end was
     * recorded at the log index or before.
     */
    record ConfirmReplication(String group, long index) implements DirectoryCommand {}

    /** Stores the size of the fleet of proxies. */
    record SetFleetSize(FleetSize size) implements DirectoryCommand {}

    /** Has no effect; a read that waits until it is applied sees every earlier command. */
    record ReadBarrier(long id) implements DirectoryCommand {}
}
