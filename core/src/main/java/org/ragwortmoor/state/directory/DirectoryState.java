package org.ragwortmoor.state.directory;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.control.Option;
import java.util.List;
import org.ragwortmoor.state.routes.RouteTable;

/**
 * The replicated directory; immutable.
 *
 * @param routes the active route table
 * @param routesRevision log index of the last change of the routes; 0 before the first table
 * @param servers servers by id
 * @param serversRevision log index of the last change of a server or promotion
 * @param promotions newest promotion of each group
 * @param fleet size of the fleet of proxies in the last count
 * @param replication replication of each group that is disturbed
 */
public record DirectoryState(
        RouteTable routes,
        long routesRevision,
        Map<String, ServerRecord> servers,
        long serversRevision,
        Map<String, Promotion> promotions,
        FleetSize fleet,
        Map<String, GroupReplication> replication) {
    /** The directory before the first command. */
    public static final DirectoryState EMPTY =
            new DirectoryState(
                    RouteTable.EMPTY,
                    0,
                    LinkedHashMap.empty(),
                    0,
                    LinkedHashMap.empty(),
                    FleetSize.UNKNOWN,
                    LinkedHashMap.empty());

    /** Maximum number of ended servers that are kept, so that late announcements are recognized. */
    private static final int MAX_GONE_SERVERS = 500;

    /** Returns the directory after the command in the log entry at {@code index}. */
    public DirectoryState apply(DirectoryCommand command, long index) {
        if (command instanceof DirectoryCommand.PutRoutes put) {
            // The first table may have version 0, which is that of the empty table too.
            boolean first = routesRevision == 0;
            return first || put.table().version() > routes.version()
                    ? new DirectoryState(
                            put.table(),
                            index,
                            servers,
                            serversRevision,
                            promotions,
                            fleet,
                            replication)
                    : this;
        }
        if (command instanceof DirectoryCommand.PutServer put) {
            return putServer(put.server(), index);
        }
        if (command instanceof DirectoryCommand.OrderPromotion order) {
            return withPromotion(
                    new Promotion(order.group(), order.server(), order.holder(), index, false),
                    index);
        }
        if (command instanceof DirectoryCommand.ConfirmPromotion confirmation) {
            return promotions
                    .get(confirmation.group())
                    .filter(p -> p.token() == confirmation.token())
                    .map(p -> withPromotion(p.confirm(), serversRevision))
                    .getOrElse(this);
        }
        if (command instanceof DirectoryCommand.SetFleetSize set) {
            return new DirectoryState(
                    routes,
                    routesRevision,
                    servers,
                    serversRevision,
                    promotions,
                    set.size(),
                    replication);
        }
        if (command instanceof DirectoryCommand.RecordSuspension suspension) {
            return withReplication(
                    suspension.group(),
                    replication(suspension.group()).withSuspended(suspension.suspended()));
        }
        if (command instanceof DirectoryCommand.ConfirmReplication confirmation) {
            return withReplication(
                    confirmation.group(),
                    replication(confirmation.group()).withConfirmedThrough(confirmation.index()));
        }
        return this;
    }

    private DirectoryState withPromotion(Promotion promotion, long changedServersRevision) {
        return new DirectoryState(
                routes,
                routesRevision,
                servers,
                changedServersRevision,
                promotions.put(promotion.group(), promotion),
                fleet,
                replication);
    }

    private DirectoryState withReplication(String group, GroupReplication changed) {
        return new DirectoryState(
                routes,
                routesRevision,
                servers,
                serversRevision,
                promotions,
                fleet,
                changed.equals(GroupReplication.UNDISTURBED)
                        ? replication.remove(group)
                        : replication.put(group, changed));
    }

    /** Returns what is recorded of the replication of a group. */
    public GroupReplication replication(String group) {
        return replication.getOrElse(group, GroupReplication.UNDISTURBED);
    }

    private DirectoryState putServer(ServerRecord server, long index) {
        if (PlausibleStart.isImpossible(server)) {
            return this;
        }
        ServerRecord known = servers.get(server.id()).getOrNull();
        if (known != null && !ServerPrecedence.replaces(server, known)) {
            return this;
        }
        Map<String, ServerRecord> changed =
                servers.filterValues(s -> !s.id().equals(server.id()))
                        .mapValues(s -> ServerPrecedence.afterAnnouncement(s, server, index))
                        .put(server.id(), server.changedAt(index));
        long gone = changed.values().count(s -> s.state() == ServerState.GONE);
        if (gone > MAX_GONE_SERVERS) {
            Option<ServerRecord> oldest =
                    changed.values()
                            .filter(s -> s.state() == ServerState.GONE)
                            .minBy((a, b) -> Long.compare(a.changedAt(), b.changedAt()));
            for (ServerRecord record : oldest) {
                changed = changed.remove(record.id());
            }
        }
        // A server that was restarted under the same id has no data and is no longer primary.
        boolean restarted = known != null && known.startedAtMillis() != server.startedAtMillis();
        Map<String, Promotion> kept =
                promotions.mapValues(
                        p -> restarted && p.server().equals(server.id()) ? p.withoutServer() : p);
        DirectoryState stored =
                new DirectoryState(
                        routes, routesRevision, changed, index, kept, fleet, replication);
        return stored.withDeparturesSince(this, index);
    }

    /** Records which incarnations of servers have ended since {@code before}. */
    private DirectoryState withDeparturesSince(DirectoryState before, long index) {
        DirectoryState result = this;
        for (ServerRecord earlier : before.servers.values()) {
            Option<ServerRecord> now = servers.get(earlier.id());
            boolean ended =
                    earlier.state() != ServerState.GONE
                            && now.exists(
                                    s ->
                                            s.state() == ServerState.GONE
                                                    || s.startedAtMillis()
                                                            != earlier.startedAtMillis());
            if (ended && routes.group(earlier.group()).exists(g -> g.syncReplicas() > 0)) {
                Departure departure =
                        new Departure(
                                earlier.id(), earlier.startedAtMillis(), earlier.address(), index);
                result =
                        result.withReplication(
                                earlier.group(),
                                result.replication(earlier.group()).withDeparture(departure));
            }
        }
        return result;
    }

    /**
     * Returns the directory without servers that an earlier release stored with an impossible start
     * time. The records of servers that they displaced are removed too, so that the next
     * announcements of those servers count.
     */
    public DirectoryState withoutImpossibleServers() {
        Set<String> addresses =
                servers.values()
                        .filter(PlausibleStart::isImpossible)
                        .map(ServerRecord::address)
                        .toSet();
        return new DirectoryState(
                routes,
                routesRevision,
                servers.filterValues(
                        s ->
                                !PlausibleStart.isImpossible(s)
                                        && !(s.state() == ServerState.GONE
                                                && addresses.contains(s.address()))),
                serversRevision,
                promotions,
                fleet,
                replication);
    }

    /** Returns the servers of a group that have not ended. */
    public List<ServerRecord> members(String group) {
        return servers.values()
                .filter(s -> s.group().equals(group) && s.state() != ServerState.GONE)
                .toJavaList();
    }

    /**
     * Returns the servers of which a process that knows an earlier revision has to be told, with
     * their present roles; none if it needs all servers.
     *
     * @param revision log index of the last change of a server or promotion that it knows
     */
    public Option<List<ServerRecord>> serversChangedSince(long revision) {
        // Beyond this number, servers that have ended are forgotten.
        boolean complete =
                servers.values().count(s -> s.state() == ServerState.GONE) < MAX_GONE_SERVERS;
        return Option.when(
                revision > 0 && complete,
                () ->
                        servers.values()
                                .filter(s -> s.changedAt() > revision || promoted(s, revision))
                                .map(this::withRole)
                                .toJavaList());
    }

    private boolean promoted(ServerRecord server, long revision) {
        return promotions.get(server.group()).exists(p -> p.token() > revision);
    }

    /** Returns the servers that have not ended, with their present roles. */
    public List<ServerRecord> presentServers() {
        return servers.values()
                .filter(s -> s.state() != ServerState.GONE)
                .map(this::withRole)
                .toJavaList();
    }

    private ServerRecord withRole(ServerRecord server) {
        return server.withPrimary(primary(server.group()).exists(p -> p.id().equals(server.id())));
    }

    /** Returns whether storing {@code server} would change the directory. */
    public boolean wouldChange(ServerRecord server) {
        return servers.get(server.id()).forAll(known -> ServerPrecedence.replaces(server, known));
    }

    /**
     * Returns the primary of a group. Once a promotion was ordered, it is the server of the newest
     * order, or none if that server has ended: a server that was replaced may still announce itself
     * as primary. Before the first order it is the server that last announced itself as primary.
     */
    public Option<ServerRecord> primary(String group) {
        if (promotions.containsKey(group)) {
            return promotions
                    .get(group)
                    .flatMap(ordered -> servers.get(ordered.server()))
                    .filter(server -> server.state() != ServerState.GONE);
        }
        ServerRecord newest = null;
        for (ServerRecord server : members(group)) {
            if (server.primary() && (newest == null || server.changedAt() > newest.changedAt())) {
                newest = server;
            }
        }
        return Option.of(newest);
    }
}
