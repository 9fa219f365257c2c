package org.ragwortmoor.protocol;

import com.google.protobuf.ByteString;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.ragwortmoor.protocol.wire.DepartureMessage;
import org.ragwortmoor.protocol.wire.DirectoryCommandMessage;
import org.ragwortmoor.protocol.wire.DirectoryMessage;
import org.ragwortmoor.protocol.wire.DirectorySnapshotMessage;
import org.ragwortmoor.protocol.wire.FleetSizeMessage;
import org.ragwortmoor.protocol.wire.GroupLimitsMessage;
import org.ragwortmoor.protocol.wire.GroupReplicationMessage;
import org.ragwortmoor.protocol.wire.PromotionConfirmationMessage;
import org.ragwortmoor.protocol.wire.PromotionMessage;
import org.ragwortmoor.protocol.wire.ReplicationConfirmationMessage;
import org.ragwortmoor.protocol.wire.RouteMessage;
import org.ragwortmoor.protocol.wire.RouteTableChangeMessage;
import org.ragwortmoor.protocol.wire.RouteTableMessage;
import org.ragwortmoor.protocol.wire.ServerMessage;
import org.ragwortmoor.protocol.wire.SuspensionMessage;
import org.ragwortmoor.state.directory.Departure;
import org.ragwortmoor.state.directory.DirectoryCommand;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.directory.FleetSize;
import org.ragwortmoor.state.directory.GroupReplication;
import org.ragwortmoor.state.directory.Promotion;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerState;
import org.ragwortmoor.state.routes.GroupLimits;
import org.ragwortmoor.state.routes.Route;
import org.ragwortmoor.state.routes.RouteKind;
import org.ragwortmoor.state.routes.RouteTable;
import org.ragwortmoor.state.routes.RouteTableChange;

/** Converts the replicated directory and its commands to and from protobuf. */
public final class DirectoryCodec {
    private DirectoryCodec() {}

    /** Serializes a command. */
    public static byte[] encode(DirectoryCommand command) {
        DirectoryCommandMessage.Builder builder = DirectoryCommandMessage.newBuilder();
        if (command instanceof DirectoryCommand.PutRoutes put) {
            builder.setPutRoutes(encode(put.table(), true));
        } else if (command instanceof DirectoryCommand.PutServer put) {
            builder.setPutServer(encode(put.server()));
        } else if (command instanceof DirectoryCommand.OrderPromotion order) {
            builder.setOrderPromotion(
                    PromotionMessage.newBuilder()
                            .setGroup(order.group())
                            .setServer(order.server())
                            .setHolder(order.holder()));
        } else if (command instanceof DirectoryCommand.ConfirmPromotion confirmation) {
            builder.setConfirmPromotion(
                    PromotionConfirmationMessage.newBuilder()
                            .setGroup(confirmation.group())
                            .setToken(confirmation.token()));
        } else if (command instanceof DirectoryCommand.RecordSuspension suspension) {
            builder.setRecordSuspension(
                    SuspensionMessage.newBuilder()
                            .setGroup(suspension.group())
                            .setSuspended(suspension.suspended()));
        } else if (command instanceof DirectoryCommand.ConfirmReplication confirmation) {
            builder.setConfirmReplication(
                    ReplicationConfirmationMessage.newBuilder()
                            .setGroup(confirmation.group())
                            .setIndex(confirmation.index()));
        } else if (command instanceof DirectoryCommand.SetFleetSize set) {
            builder.setFleetSize(
                    FleetSizeMessage.newBuilder()
                            .setProxies(set.size().proxies())
                            .setDomains(set.size().domains()));
        } else if (command instanceof DirectoryCommand.ReadBarrier barrier) {
            builder.setReadBarrier(barrier.id());
        }
        return builder.build().toByteArray();
    }

    /** Parses a command; returns an error that names the invalid field if it is malformed. */
    public static Either<ProtocolError, DirectoryCommand> decodeCommand(byte[] bytes) {
        return MalformedException.tryConvert(
                () -> decode(DirectoryCommandMessage.parseFrom(bytes)));
    }

    private static DirectoryCommand decode(DirectoryCommandMessage message)
            throws MalformedException {
        return switch (message.getCommandCase()) {
            case PUT_ROUTES -> new DirectoryCommand.PutRoutes(decode(message.getPutRoutes()));
            case PUT_SERVER -> new DirectoryCommand.PutServer(decode(message.getPutServer()));
            case ORDER_PROMOTION ->
                    new DirectoryCommand.OrderPromotion(
                            message.getOrderPromotion().getGroup(),
                            message.getOrderPromotion().getServer(),
                            message.getOrderPromotion().getHolder());
            case CONFIRM_PROMOTION ->
                    new DirectoryCommand.ConfirmPromotion(
                            message.getConfirmPromotion().getGroup(),
                            message.getConfirmPromotion().getToken());
            case COUNT_PROXIES ->
                    new DirectoryCommand.SetFleetSize(new FleetSize(message.getCountProxies(), 0));
            case FLEET_SIZE ->
                    new DirectoryCommand.SetFleetSize(
                            new FleetSize(
                                    message.getFleetSize().getProxies(),
                                    message.getFleetSize().getDomains()));
            case RECORD_SUSPENSION ->
                    new DirectoryCommand.RecordSuspension(
                            message.getRecordSuspension().getGroup(),
                            message.getRecordSuspension().getSuspended());
            case CONFIRM_REPLICATION ->
                    new DirectoryCommand.ConfirmReplication(
                            message.getConfirmReplication().getGroup(),
                            message.getConfirmReplication().getIndex());
            case READ_BARRIER -> new DirectoryCommand.ReadBarrier(message.getReadBarrier());
            case COMMAND_NOT_SET -> throw MalformedException.missing("command");
        };
    }

    /** Serializes the directory. */
    public static byte[] encode(DirectoryState state) {
        DirectorySnapshotMessage.Builder builder =
                DirectorySnapshotMessage.newBuilder()
                        .setRoutes(encode(state.routes(), true))
                        .setRoutesRevision(state.routesRevision())
                        .setServersRevision(state.serversRevision())
                        .setProxies(state.fleet().proxies())
                        .setDomains(state.fleet().domains());
        state.servers().values().forEach(s -> builder.addServers(encode(s)));
        for (Promotion promotion : state.promotions().values()) {
            builder.addPromotions(
                    PromotionMessage.newBuilder()
                            .setGroup(promotion.group())
                            .setServer(promotion.server())
                            .setHolder(promotion.holder())
                            .setToken(promotion.token())
                            .setConfirmed(promotion.confirmed()));
        }
        state.replication().forEach((group, r) -> builder.addReplication(encode(group, r)));
        return builder.build().toByteArray();
    }

    private static GroupReplicationMessage encode(String group, GroupReplication replication) {
        GroupReplicationMessage.Builder builder =
                GroupReplicationMessage.newBuilder()
                        .setGroup(group)
                        .setSuspended(replication.suspended());
        for (Departure departure : replication.departures()) {
            builder.addDepartures(
                    DepartureMessage.newBuilder()
                            .setServer(departure.server())
                            .setStartedAtMillis(departure.startedAtMillis())
                            .setAddress(departure.address())
                            .setIndex(departure.index()));
        }
        return builder.build();
    }

    private static GroupReplication decode(GroupReplicationMessage message) {
        return new GroupReplication(
                message.getSuspended(),
                message.getDeparturesList().stream()
                        .map(
                                d ->
                                        new Departure(
                                                d.getServer(),
                                                d.getStartedAtMillis(),
                                                d.getAddress(),
                                                d.getIndex()))
                        .toList());
    }

    /** Parses a directory; returns an error that names the invalid field if it is malformed. */
    public static Either<ProtocolError, DirectoryState> decodeState(byte[] bytes) {
        return MalformedException.tryConvert(
                () -> decode(DirectorySnapshotMessage.parseFrom(bytes)));
    }

    private static DirectoryState decode(DirectorySnapshotMessage message)
            throws MalformedException {
        Map<String, ServerRecord> servers = LinkedHashMap.empty();
        for (ServerMessage server : message.getServersList()) {
            servers = servers.put(server.getId(), decode(server));
        }
        Map<String, Promotion> promotions = LinkedHashMap.empty();
        for (PromotionMessage p : message.getPromotionsList()) {
            promotions =
                    promotions.put(
                            p.getGroup(),
                            new Promotion(
                                    p.getGroup(),
                                    p.getServer(),
                                    p.getHolder(),
                                    p.getToken(),
                                    p.getConfirmed()));
        }
        Map<String, GroupReplication> replication = LinkedHashMap.empty();
        for (GroupReplicationMessage r : message.getReplicationList()) {
            replication = replication.put(r.getGroup(), decode(r));
        }
        return new DirectoryState(
                        decode(message.getRoutes()),
                        message.getRoutesRevision(),
                        servers,
                        message.getServersRevision(),
                        promotions,
                        new FleetSize(message.getProxies(), message.getDomains()),
                        replication)
                .withoutImpossibleServers();
    }

    /**
     * Encodes a route table. Its source is only included on request, since proxies do not need it.
     */
    public static RouteTableMessage encode(RouteTable table, boolean withSource) {
        RouteTableMessage.Builder builder =
                RouteTableMessage.newBuilder()
                        .setVersion(table.version())
                        .setIdleTransactionMillis(table.idleTransactionMillis());
        for (Route route : table.routes()) {
            builder.addRoutes(encode(route));
        }
        table.groups().forEach(group -> builder.addGroups(encode(group)));
        table.workspaces()
                .forEach(
                        list -> {
                            builder.setHasWorkspaces(true);
                            list.forEach(w -> builder.addWorkspaces(WorkspaceCodec.encode(w)));
                        });
        return withSource ? builder.setSource(table.source()).build() : builder.build();
    }

    /** Encodes a change of the route table with this revision. */
    public static RouteTableChangeMessage encode(RouteTableChange change, long baseRevision) {
        RouteTableChangeMessage.Builder builder =
                RouteTableChangeMessage.newBuilder()
                        .setBaseRevision(baseRevision)
                        .setVersion(change.version())
                        .addAllRemoved(change.removed())
                        .setIdleTransactionMillis(change.idleTransactionMillis());
        change.changed().forEach(route -> builder.addChanged(encode(route)));
        change.groups().forEach(group -> builder.addGroups(encode(group)));
        change.workspaces().forEach(changes -> WorkspaceCodec.encode(changes, builder));
        return builder.build();
    }

    /** Decodes a change, or returns an error that names the invalid field. */
    public static Either<ProtocolError, RouteTableChange> decodeChange(
            RouteTableChangeMessage message) {
        return MalformedException.tryConvert(
                () ->
                        new RouteTableChange(
                                message.getVersion(),
                                message.getRemovedList(),
                                decodeRouteList(message.getChangedList()),
                                decodeGroups(message.getGroupsList()),
                                message.getIdleTransactionMillis(),
                                WorkspaceCodec.decode(message)));
    }

    private static GroupLimitsMessage encode(GroupLimits group) {
        return GroupLimitsMessage.newBuilder()
                .setName(group.name())
                .setMaxConnections(group.maxConnections())
                .setSyncReplicas(group.syncReplicas())
                .build();
    }

    private static List<GroupLimits> decodeGroups(List<GroupLimitsMessage> groups) {
        return groups.stream()
                .map(g -> new GroupLimits(g.getName(), g.getMaxConnections(), g.getSyncReplicas()))
                .toList();
    }

    private static List<Route> decodeRouteList(List<RouteMessage> messages)
            throws MalformedException {
        List<Route> routes = new ArrayList<>();
        for (RouteMessage route : messages) {
            routes.add(decode(route));
        }
        return routes;
    }

    /** Encodes a route. */
    static RouteMessage encode(Route route) {
        return RouteMessage.newBuilder()
                .setName(route.name())
                .setDatabase(route.database())
                .setPrefix(route.prefix())
                .setKind(route.kind().name())
                .setGroup(route.group())
                .setTimeoutMillis(route.timeoutMillis())
                .setTargetMillis(route.targetMillis())
                .setPriority(route.priority())
                .setMaxStalenessMillis(route.maxStalenessMillis())
                .setKeyExempt(route.keyExempt())
                .build();
    }

    static Route decode(RouteMessage route) throws MalformedException {
        return new Route(
                route.getName(),
                route.getDatabase(),
                route.getPrefix(),
                enumValue(RouteKind.class, route.getKind(), "route.kind"),
                route.getGroup(),
                route.getTimeoutMillis(),
                route.getTargetMillis(),
                route.getPriority(),
                route.getMaxStalenessMillis(),
                route.getKeyExempt());
    }

    private static RouteTable decode(RouteTableMessage message) throws MalformedException {
        return new RouteTable(
                message.getVersion(),
                decodeRouteList(message.getRoutesList()),
                decodeGroups(message.getGroupsList()),
                message.getIdleTransactionMillis(),
                WorkspaceCodec.decode(message),
                message.getSource());
    }

    /** Encodes a server record. */
    public static ServerMessage encode(ServerRecord server) {
        return ServerMessage.newBuilder()
                .setId(server.id())
                .setBornAtMillis(server.startedAtMillis())
                .setGroup(server.group())
                .setAddress(server.address())
                .setZone(server.failureDomain())
                .setSlots(server.slots())
                .setState(server.state().name())
                .setPrimary(server.primary())
                .setChangedAt(server.changedAt())
                .build();
    }

    private static ServerRecord decode(ServerMessage message) throws MalformedException {
        return new ServerRecord(
                message.getId(),
                message.getBornAtMillis(),
                message.getGroup(),
                message.getAddress(),
                message.getZone(),
                message.getSlots(),
                enumValue(ServerState.class, message.getState(), "server.state"),
                message.getPrimary(),
                message.getChangedAt());
    }

    static <T extends Enum<T>> T enumValue(Class<T> type, String name, String field)
            throws MalformedException {
        for (T value : type.getEnumConstants()) {
            if (value.name().equals(name)) {
                return value;
            }
        }
        throw MalformedException.missing(field);
    }

    /**
     * Parses a directory message without checking its fields; returns an error if it is malformed.
     */
    public static Either<ProtocolError, DirectoryMessage> decodeMessage(ByteString bytes) {
        return MalformedException.tryConvert(() -> DirectoryMessage.parseFrom(bytes));
    }

    /** Decodes a route table, or returns an error that names the invalid field. */
    public static Either<ProtocolError, RouteTable> decodeRoutes(RouteTableMessage message) {
        return MalformedException.tryConvert(() -> decode(message));
    }

    /** Decodes a server record, or returns an error that names the invalid field. */
    public static Either<ProtocolError, ServerRecord> decodeServer(ServerMessage message) {
        return MalformedException.tryConvert(() -> decode(message));
    }

    /** Decodes server records, or returns an error that names the first invalid field. */
    public static Either<ProtocolError, List<ServerRecord>> decodeServers(
            List<ServerMessage> messages) {
        return MalformedException.tryConvert(
                () -> {
                    List<ServerRecord> servers = new ArrayList<>();
                    for (ServerMessage message : messages) {
                        servers.add(decode(message));
                    }
                    return servers;
                });
    }
}
