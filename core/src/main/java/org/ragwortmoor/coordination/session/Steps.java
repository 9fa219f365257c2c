package org.ragwortmoor.coordination.session;

import java.util.List;
import java.util.function.Consumer;

/**
 * Runs statements of the proxy itself on a connection, all sent at once.
 *
 * <p>The caller's statement follows only after all of them have succeeded.
 */
final class Steps {
    private final Consumer<ExchangeResult> done;
    private int open;
    private ExchangeResult failure;
    private ExchangeResult last;

    private Steps(int count, Consumer<ExchangeResult> done) {
        this.open = count;
        this.done = done;
    }

    /**
     * Runs the statements.
     *
     * @param done gets the result of the last one, or the first failure
     */
    static void run(
            ServerConnection connection,
            List<String> texts,
            long deadline,
            Consumer<ExchangeResult> done) {
        Steps steps = new Steps(texts.size(), done);
        for (String text : texts) {
            connection.ask(ServerConnection.OWN_ID, text, deadline, steps::ended);
        }
    }

    private void ended(ExchangeResult result) {
        open--;
        last = result;
        if (failure == null && !(result instanceof ExchangeResult.Completed)) {
            failure = result;
        }
        if (open == 0) {
            done.accept(failure == null ? last : failure);
        }
    }
}
