package org.ragwortmoor.coordination.session;

import java.util.concurrent.TimeUnit;
import org.ragwortmoor.coordination.workspace.OperationGate;

/** Asks the operation gate whether the next operation of a session may start. */
final class OperationStart {
    private Request current;

    /** Receives a refusal; see {@link OperationGate.Listener#refused}. */
    interface Refusal {
        void refused(String reason, int retryAfterMillis);
    }

    /** Requests a decision; one of the callbacks may be called before this method returns. */
    void request(
            OperationGate gate,
            String workspace,
            RoutedStatement statement,
            Runnable permitted,
            Refusal refusal) {
        Request request = new Request(permitted, refusal);
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
        private final Refusal refusal;
        private OperationGate.Pending pending;
        private boolean decided;

        Request(Runnable permitted, Refusal refusal) {
            this.permitted = permitted;
            this.refusal = refusal;
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
                refusal.refused(reason, retryAfterMillis);
            }
        }
    }
}
