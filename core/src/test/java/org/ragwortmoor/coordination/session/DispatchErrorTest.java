package org.ragwortmoor.coordination.session;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against an error of one statement after which no other is dispatched. */
class DispatchErrorTest {
    private static final int FAILURES = 50;

    private final Deployment deployment = new Deployment();

    /** Requests a connection whose receiver has no memory left for the statement. */
    private void requestAndFail() {
        deployment
                .engine
                .group("g")
                .requestConnection(
                        new ConnectionRequest(
                                ConnectionRequest.Target.LEADER,
                                "",
                                1,
                                Map.of(),
                                Set.of(),
                                deployment.host.now() + 1_000_000_000L,
                                new ConnectionRequest.Listener() {
                                    @Override
                                    public void granted(ServerConnection connection) {
                                        throw new OutOfMemoryError("no memory for the statement");
                                    }

                                    @Override
                                    public void expired() {
                                        throw new IllegalStateException("expired");
                                    }

                                    @Override
                                    public void exhausted() {
                                        throw new IllegalStateException("exhausted");
                                    }
                                }));
    }

    @Test
    void statementsAreServedAfterErrors() {
        Caller caller = deployment.caller("strong");
        for (int i = 0; i < FAILURES; i++) {
            // The statement leaves an idle connection, so that the request is granted at once.
            assertThat(caller.ask("READ x", 300)).contains("signed-s1");
            assertThatThrownBy(this::requestAndFail).isInstanceOf(OutOfMemoryError.class);
        }
        assertThat(caller.ask("READ x", 300)).contains("signed-s1");
    }
}
