package org.ragwortmoor.coordination.session;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.coordination.workspace.OperationGate;
import org.ragwortmoor.state.routes.Route;
import org.ragwortmoor.state.routes.RouteKind;
import org.ragwortmoor.state.routes.RouteTable;
import org.ragwortmoor.state.workspace.Workspace;

/** Guards against work for callers whose key is unknown, withdrawn or cannot be checked. */
class CallerKeyTest {
    private static final String UNAUTH = "ERROR UNAUTH no workspace has this key";
    private static final String UNCONFIRMED =
            "ERROR OVERLOAD retry-after-ms=150 the keys could not be confirmed";

    private final Deployment deployment = new Deployment();
    private final List<String> workspaces = new ArrayList<>();
    private long reportId = 70;
    private long version = 1;

    CallerKeyTest() {
        deployment.engine.setKeyRevocationLimit(5_000);
        deployment.engine.setOperationGate(
                (operation, listener) -> {
                    workspaces.add(operation.workspace());
                    return OperationGate.OPEN.request(operation, listener);
                });
        configure("moor", "k1");
        confirm();
    }

    /** Replaces the configuration by one with a single workspace. */
    private void configure(String workspace, String... keys) {
        RouteTable table = Deployment.routes(1);
        List<Route> routes = new ArrayList<>(table.routes());
        routes.add(new Route("open", "open", "/", RouteKind.PRIMARY, "g", 1_000, 200, 1, 0, true));
        deployment.updateDirectory(
                new RouteTable(
                        ++version,
                        routes,
                        table.groups(),
                        3_000,
                        Option.some(
                                List.of(new Workspace(workspace, List.of(keys), 0, Option.none()))),
                        ""),
                "s1");
    }

    private void confirm() {
        deployment.engine.observations(++reportId);
        deployment.engine.reportConfirmed(reportId);
    }

    private Caller caller(String database, String key) {
        return new Caller(deployment.host, deployment.engine, database, key);
    }

    @Test
    void knownKeyIsServedForItsWorkspace() {
        assertThat(caller("own", "k1").ask("WRITE x 1")).contains("signed-s1");
        assertThat(workspaces).containsExactly("moor");
    }

    @Test
    void unknownOrMissingKeyIsRefusedAtConnect() {
        for (String key : List.of("k2", "", "K1")) {
            Caller caller = caller("own", key);
            assertThat(caller.answer()).isEqualTo(UNAUTH);
            assertThat(caller.closed()).isTrue();
        }
    }

    @Test
    void keyExemptRouteServesCallersWithoutAKey() {
        assertThat(caller("open", "").ask("WRITE x 1")).contains("signed-s1");
        assertThat(caller("open", "k1").ask("WRITE x 1")).contains("signed-s1");
        assertThat(workspaces).containsExactly("", "moor");
    }

    @Test
    void connectWaitsForAConfirmation() {
        deployment.host.suspend(100);
        Caller early = caller("own", "k1");
        Caller unknown = caller("own", "k2");
        assertThat(early.answer()).isEmpty();
        confirm();
        assertThat(early.answer()).isEqualTo("READY I -");
        assertThat(unknown.answer()).isEqualTo(UNAUTH);
        deployment.host.suspend(100);
        Caller late = caller("own", "k1");
        deployment.host.advance(1_500);
        assertThat(late.answer()).isEqualTo(UNCONFIRMED);
        assertThat(late.closed()).isTrue();
    }

    @Test
    void statementsAreRefusedOnceTheConfirmationHasExpired() {
        Caller caller = caller("own", "k1");
        deployment.host.advance(4_899);
        assertThat(caller.ask("WRITE x 1", 0)).doesNotStartWith("ERROR");
        deployment.host.advance(1_000);
        assertThat(caller.ask("WRITE x 2", 0)).isEqualTo(UNCONFIRMED + "; READY I -");
        assertThat(deployment.engine.reportUrgent(Long.MAX_VALUE)).isTrue();
        confirm();
        assertThat(caller.ask("WRITE x 3")).contains("signed-s1");
    }

    @Test
    void withdrawnKeyIsRefusedForEveryStatement() {
        Caller caller = caller("own", "k1");
        configure("moor", "k2");
        for (String text : List.of("WRITE x 1", "READ x", "BEGIN", "SET a b", "ROLLBACK")) {
            assertThat(caller.ask(text)).isEqualTo(UNAUTH + "; READY I -");
        }
        assertThat(caller.closed()).isFalse();
        assertThat(deployment.s1.executed()).isEmpty();
        configure("moor", "k1");
        assertThat(caller.ask("WRITE x 1")).contains("signed-s1");
    }

    @Test
    void transactionOfAWithdrawnKeyIsRolledBack() {
        for (String end : List.of("COMMIT", "ROLLBACK")) {
            configure("moor", "k1");
            Caller caller = caller("own", "k1");
            caller.ask("BEGIN");
            caller.ask("WRITE x 1");
            configure("moor", "k2");
            assertThat(caller.ask("WRITE x 2")).isEqualTo(UNAUTH + "; READY E -");
            assertThat(caller.ask(end)).isEqualTo(UNAUTH + "; READY I -");
        }
        assertThat(deployment.s1.position().index()).isEqualTo(10);
    }

    @Test
    void transactionEndsWhenTheKeysCannotBeConfirmed() {
        Caller caller = caller("own", "k1");
        caller.ask("BEGIN");
        caller.ask("WRITE x 1");
        deployment.host.suspend(100);
        assertThat(caller.ask("WRITE x 2")).isEqualTo(UNCONFIRMED + "; READY E -");
        assertThat(caller.ask("ROLLBACK")).isEqualTo("COMPLETE -; READY I -");
        assertThat(deployment.s1.position().index()).isEqualTo(10);
    }

    @Test
    void keyThatMovesTakesNoOpenTransactionAlong() {
        Caller caller = caller("own", "k1");
        caller.ask("BEGIN");
        caller.ask("WRITE x 1");
        configure("fen", "k1");
        assertThat(caller.ask("COMMIT")).startsWith("ERROR ABORTED").endsWith("READY I -");
        assertThat(caller.ask("WRITE x 2")).contains("signed-s1");
        assertThat(workspaces).containsExactly("moor", "fen");
    }

    /** A key in the state dump could be read at the metrics address. */
    @Test
    void descriptionsContainNoKey() {
        configure("moor", "secret1");
        assertThat(deployment.engine.describe().toString())
                .contains("keys=1")
                .doesNotContain("secret1");
        assertThat(deployment.engine.view().toString()).doesNotContain("secret1");
    }
}
