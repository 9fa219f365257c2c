package org.ragwortmoor.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortmoor.coordination.session.DirectoryView;
import org.ragwortmoor.protocol.wire.DirectoryUpdateMessage;
import org.ragwortmoor.state.directory.DirectoryCommand;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerState;
import org.ragwortmoor.state.routes.GroupLimits;
import org.ragwortmoor.state.routes.Route;
import org.ragwortmoor.state.routes.RouteKind;
import org.ragwortmoor.state.routes.RouteTable;

/**
 * Tests that a proxy that applies changes has the same routes and servers as one that gets all of
 * them, whichever updates it misses.
 */
class UpdateContentsTest {
    private static final int STEPS = 300;

    private final UpdateContents contents = new UpdateContents();
    private DirectoryState state = DirectoryState.EMPTY;
    private long index;

    private void apply(DirectoryCommand command) {
        state = state.apply(command, ++index);
        contents.setState(state);
    }

    private DirectoryUpdateMessage updateFor(long routesRevision, long serversRevision) {
        DirectoryUpdateMessage.Builder update = DirectoryUpdateMessage.newBuilder();
        contents.addRoutes(update, routesRevision);
        contents.addServers(update, serversRevision);
        return update.build();
    }

    private static Route route(int number, int timeout) {
        String name = "r" + number;
        return new Route(name, "db" + number, "/", RouteKind.PRIMARY, "g", timeout, 100, 1, 0);
    }

    private static RouteTable table(long version, List<Route> routes) {
        return new RouteTable(version, routes, List.of(new GroupLimits("g", 72, 0)), 0, "");
    }

    private static DirectoryCommand announce(
            String id, long startedAt, ServerState serverState, boolean primary) {
        return new DirectoryCommand.PutServer(
                new ServerRecord(
                        id, startedAt, "g", "10.0.0.1:" + id, "a", 5, serverState, primary, 0));
    }

    private DirectoryCommand randomCommand(SplittableRandom random) {
        int server = random.nextInt(6);
        return switch (random.nextInt(4)) {
            case 0 -> {
                List<Route> routes = new ArrayList<>();
                for (int i = 0; i < 8; i++) {
                    if (random.nextInt(3) > 0) {
                        routes.add(route(i, random.nextInt(100, 103)));
                    }
                }
                yield new DirectoryCommand.PutRoutes(table(index + 1, routes));
            }
            case 1 -> new DirectoryCommand.OrderPromotion("g", "s" + server, "control");
            default ->
                    announce(
                            "s" + server,
                            1 + random.nextInt(2),
                            ServerState.values()[random.nextInt(3)],
                            random.nextBoolean());
        };
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void changesLeadToTheSameViewAsWholeUpdates(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        DirectoryView view = DirectoryView.EMPTY;
        for (int step = 0; step < STEPS; step++) {
            apply(randomCommand(random));
            DirectoryUpdateMessage update =
                    updateFor(view.routesRevision(), view.serversRevision());
            boolean lost = random.nextInt(4) == 0;
            if (!lost) {
                view = ViewUpdate.apply(update, view).get();
                DirectoryView whole = ViewUpdate.apply(updateFor(0, 0), DirectoryView.EMPTY).get();
                assertThat(new HashSet<>(view.servers())).isEqualTo(new HashSet<>(whole.servers()));
                assertThat(new HashSet<>(view.routes().routes()))
                        .isEqualTo(new HashSet<>(whole.routes().routes()));
                assertThat(view.routes().version()).isEqualTo(whole.routes().version());
                assertThat(view.routes().byDatabase()).isEqualTo(whole.routes().byDatabase());
                assertThat(view.routesRevision()).isEqualTo(whole.routesRevision());
                assertThat(view.serversRevision()).isEqualTo(whole.serversRevision());
            }
        }
    }

    @Test
    void aChangeOfAnotherRevisionIsIgnored() {
        apply(new DirectoryCommand.PutRoutes(table(1, List.of(route(1, 100)))));
        apply(announce("s1", 1, ServerState.READY, true));
        DirectoryView known = ViewUpdate.apply(updateFor(0, 0), DirectoryView.EMPTY).get();
        apply(new DirectoryCommand.PutRoutes(table(2, List.of(route(1, 200)))));
        apply(announce("s2", 1, ServerState.READY, false));
        long routesRevision = state.routesRevision();
        long serversRevision = state.serversRevision();
        apply(new DirectoryCommand.PutRoutes(table(3, List.of(route(2, 200)))));
        apply(announce("s3", 1, ServerState.READY, false));
        DirectoryView view =
                ViewUpdate.apply(updateFor(routesRevision, serversRevision), known).get();
        assertThat(view).isEqualTo(known);
    }

    @Test
    void theChangeOfALargeTableIsSmall() {
        List<Route> routes = new ArrayList<>();
        for (int i = 0; i < 1_400; i++) {
            routes.add(route(i, 100));
        }
        apply(new DirectoryCommand.PutRoutes(table(1, routes)));
        long revision = state.routesRevision();
        routes.set(700, route(700, 200));
        apply(new DirectoryCommand.PutRoutes(table(2, routes)));
        assertThat(updateFor(revision, 0).getSerializedSize()).isLessThan(200);
    }
}
