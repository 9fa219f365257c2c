package org.ragwortmoor.coordination.session;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ragwortmoor.coordination.workspace.OperationGate;
import org.ragwortmoor.state.statement.ErrorCode;

/** Asks the operation gate whether the next operation of a session may start. */
final class OperationStart {
    private Request current;

    /** Requests a decision; one of the callbacks may be called before this method returns. */
    void request(
            OperationGate gate,
            String workspace,
            RoutedStatement statement,
            Runnable permitted,
            Consumer<Refusal> refused) {
        Request request = new Request(permitted, refused);
        current = request;
        request.pending =
                gate.request(
                        new OperationGate.Operation(
                                workspace, statement.id(), waitDeadline(statement)),
                        request);
    }

    /** Cancels the request that is not decided yet, if there is one. */
    void cancel() {
        if (current != null && !current.decided) {
            current.decided = true;
            current.pending.cancel();
        }
    }

    private static long waitDeadline(RoutedStatement statement) {
        int objective = statement.route().targetMillis();
        int millis = objective > 0 ? objective : statement.route().timeoutMillis();
        long wait = TimeUnit.MILLISECONDS.toNanos(millis) / SessionSettings.GATE_WAIT_DIVISOR;
        long end = statement.arrivedAt() + wait;
        return end - statement.sendDeadline() < 0 ? end : statement.sendDeadline();
    }

    private static final class Request implements OperationGate.Listener {
        private final Runnable permitted;
        private final Consumer<Refusal> refused;
        private OperationGate.Pending pending;
        private boolean decided;

        Request(Runnable permitted, Consumer<Refusal> refused) {
            this.permitted = permitted;
            this.refused = refused;
        }

        @Override
        public void permitted() {
            if (!decided) {
                decided = true;
                permitted.run();
            }
        }

        @Override
        public void refused(String reason, int retryAfterMillis) {
            if (!decided) {
                decided = true;
                refused.accept(new Refusal(ErrorCode.OVERLOAD.name(), reason, retryAfterMillis));
            }
        }
    }
}
