package org.ragwortmoor.coordination.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.coordination.workspace.OperationGate;

/** Guards against operations that start without the gate, or that ask it more than once. */
class OperationGateTest {
    private final Deployment deployment = new Deployment();
    private final List<OperationGate.Operation> operations = new ArrayList<>();
    private final List<OperationGate.Listener> listeners = new ArrayList<>();
    private int cancelled;

    OperationGateTest() {
        deployment.engine.setOperationGate(
                (operation, listener) -> {
                    operations.add(operation);
                    listeners.add(listener);
                    return () -> cancelled++;
                });
    }

    private OperationGate.Listener last() {
        return listeners.get(listeners.size() - 1);
    }

    @Test
    void refusedStatementNamesReasonAndDelayAndDoesNotRun() {
        Caller caller = deployment.caller("own");
        caller.ask("WRITE x 1");
        last().refused("the quota is used up", 70);
        assertThat(caller.answer())
                .isEqualTo("ERROR OVERLOAD retry-after-ms=70 the quota is used up; READY I -");
        assertThat(deployment.s1.executed()).isEmpty();
    }

    @Test
    void statementRunsWhenItIsPermitted() {
        Caller caller = deployment.caller("own");
        long arrival = deployment.host.now();
        caller.ask("WRITE x 1", 20);
        assertThat(caller.answer()).isEmpty();
        long quarterOfTheObjective = TimeUnit.MILLISECONDS.toNanos(50);
        assertThat(operations.get(0).waitDeadline()).isEqualTo(arrival + quarterOfTheObjective);
        last().permitted();
        deployment.host.advance(100);
        assertThat(caller.answer()).contains("signed-s1");
    }

    @Test
    void transactionAsksBeforeItsFirstStatementOnly() {
        Caller caller = deployment.caller("own");
        assertThat(caller.ask("BEGIN")).isEqualTo("COMPLETE -; READY T -");
        assertThat(operations).isEmpty();
        caller.send("READ x");
        last().permitted();
        deployment.host.advance(100);
        caller.ask("WRITE x 1");
        assertThat(caller.ask("COMMIT")).contains("signed-s1");
        assertThat(operations).hasSize(1);
    }

    @Test
    void refusedTransactionHasFailed() {
        Caller caller = deployment.caller("own");
        caller.ask("BEGIN");
        caller.send("READ x");
        last().refused("full", 70);
        assertThat(caller.answer()).startsWith("ERROR OVERLOAD").endsWith("READY E -");
        assertThat(caller.ask("ROLLBACK")).isEqualTo("COMPLETE -; READY I -");
        caller.ask("BEGIN");
        caller.send("COMMIT");
        last().refused("full", 70);
        assertThat(caller.answer()).startsWith("ERROR OVERLOAD").endsWith("READY I -");
    }

    @Test
    void disconnectedCallerCancelsItsRequest() {
        Caller caller = deployment.caller("own");
        caller.send("WRITE x 1");
        caller.session().disconnected();
        assertThat(cancelled).isEqualTo(1);
        last().permitted();
        deployment.host.advance(100);
        assertThat(deployment.s1.executed()).isEmpty();
    }
}
