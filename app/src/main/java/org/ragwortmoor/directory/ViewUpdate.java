package org.ragwortmoor.directory;

import io.vavr.control.Either;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortmoor.coordination.session.DirectoryView;
import org.ragwortmoor.protocol.DirectoryCodec;
import org.ragwortmoor.protocol.ProtocolError;
import org.ragwortmoor.protocol.wire.DirectoryUpdateMessage;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerState;
import org.ragwortmoor.state.routes.RouteTable;

/**
 * Applies an update of the directory to the view of a proxy. A change of another revision than the
 * one that the proxy knows is ignored; the next report shows what is lacking.
 */
final class ViewUpdate {
    private ViewUpdate() {}

    /** Returns the view after an update, or an error that names the invalid field. */
    static Either<ProtocolError, DirectoryView> apply(
            DirectoryUpdateMessage update, DirectoryView view) {
        boolean routesChanged =
                update.hasRoutes()
                        || (update.hasRoutesChange()
                                && update.getRoutesChange().getBaseRevision()
                                        == view.routesRevision());
        long base = update.getServersBaseRevision();
        boolean serversChanged =
                update.getHasServers() && (base == 0 || base == view.serversRevision());
        Either<ProtocolError, RouteTable> routes =
                routesChanged ? routes(update, view) : Either.right(view.routes());
        Either<ProtocolError, List<ServerRecord>> servers =
                serversChanged ? servers(update, view) : Either.right(view.servers());
        return routes.flatMap(
                table ->
                        servers.map(
                                records ->
                                        new DirectoryView(
                                                table,
                                                routesChanged
                                                        ? update.getRoutesRevision()
                                                        : view.routesRevision(),
                                                records,
                                                serversChanged
                                                        ? update.getServersRevision()
                                                        : view.serversRevision(),
                                                view.fleet())));
    }

    private static Either<ProtocolError, RouteTable> routes(
            DirectoryUpdateMessage update, DirectoryView view) {
        return update.hasRoutes()
                ? DirectoryCodec.decodeRoutes(update.getRoutes())
                : DirectoryCodec.decodeChange(update.getRoutesChange())
                        .map(change -> change.applyTo(view.routes()));
    }

    private static Either<ProtocolError, List<ServerRecord>> servers(
            DirectoryUpdateMessage update, DirectoryView view) {
        return DirectoryCodec.decodeServers(update.getServersList())
                .map(
                        records -> {
                            Map<String, ServerRecord> merged = new LinkedHashMap<>();
                            if (update.getServersBaseRevision() != 0) {
                                view.servers().forEach(s -> merged.put(s.id(), s));
                            }
                            records.forEach(s -> merged.put(s.id(), s));
                            merged.values().removeIf(s -> s.state() == ServerState.GONE);
                            return List.copyOf(merged.values());
                        });
    }
}
