package org.ragwortmoor.directory;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortmoor.protocol.DirectoryCodec;
import org.ragwortmoor.protocol.wire.DirectoryUpdateMessage;
import org.ragwortmoor.protocol.wire.RouteTableChangeMessage;
import org.ragwortmoor.protocol.wire.RouteTableMessage;
import org.ragwortmoor.protocol.wire.ServerMessage;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.routes.RouteTable;
import org.ragwortmoor.state.routes.RouteTableChange;

/**
 * Encodes the routes and servers that a proxy lacks. A proxy that knows a recent revision gets only
 * the changes since then. Messages are encoded once for all proxies that know the same revision.
 */
final class UpdateContents {
    /** Tables to which changes are computed; a proxy lacks more only after a long partition. */
    private static final int MAX_KNOWN_TABLES = 6;

    private final Map<Long, RouteTable> tablesByRevision =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, RouteTable> eldest) {
                    return size() > MAX_KNOWN_TABLES;
                }
            };
    private final Map<Long, RouteTableChangeMessage> changesByBase = new HashMap<>();
    private final Map<Long, List<ServerMessage>> serversByBase = new HashMap<>();
    private Option<RouteTableMessage> allRoutes = Option.none();
    private DirectoryState state = DirectoryState.EMPTY;

    /** Sets the state that updates are computed from. */
    void setState(DirectoryState newState) {
        if (newState.routesRevision() != state.routesRevision()) {
            changesByBase.clear();
            allRoutes = Option.none();
            tablesByRevision.put(newState.routesRevision(), newState.routes());
        }
        if (newState.serversRevision() != state.serversRevision()) {
            serversByBase.clear();
        }
        state = newState;
    }

    /** Adds the routes, if a process that knows a revision lacks any. */
    void addRoutes(DirectoryUpdateMessage.Builder update, long knownRevision) {
        update.setRoutesRevision(state.routesRevision());
        if (knownRevision >= state.routesRevision()) {
            return;
        }
        RouteTable known = tablesByRevision.get(knownRevision);
        if (known != null) {
            update.setRoutesChange(
                    changesByBase.computeIfAbsent(
                            knownRevision,
                            base ->
                                    DirectoryCodec.encode(
                                            RouteTableChange.between(known, state.routes()),
                                            base)));
            return;
        }
        if (allRoutes.isEmpty()) {
            allRoutes = Option.some(DirectoryCodec.encode(state.routes(), false));
        }
        update.setRoutes(allRoutes.get());
    }

    /** Adds the servers, if a process that knows a revision lacks any. */
    void addServers(DirectoryUpdateMessage.Builder update, long knownRevision) {
        update.setServersRevision(state.serversRevision());
        if (knownRevision >= state.serversRevision()) {
            return;
        }
        Option<List<ServerRecord>> changed = state.serversChangedSince(knownRevision);
        update.setHasServers(true)
                .setServersBaseRevision(changed.isDefined() ? knownRevision : 0)
                .addAllServers(
                        serversByBase.computeIfAbsent(
                                changed.isDefined() ? knownRevision : 0,
                                base -> encode(changed.getOrElse(state::presentServers))));
    }

    private static List<ServerMessage> encode(List<ServerRecord> servers) {
        return servers.stream().map(DirectoryCodec::encode).toList();
    }
}
