package org.ragwortmoor.coordination.session;

import java.util.List;
import java.util.function.Consumer;

/**
 * Executes statements of the proxy itself on a connection, sent without waiting for each answer.
 *
 * <p>The caller's statement is sent only after all of them have succeeded.
 */
final class StatementPipeline {
    private final Consumer<ExchangeResult> callback;
    private int pending;
    private ExchangeResult failure;
    private ExchangeResult last;

    private StatementPipeline(int count, Consumer<ExchangeResult> callback) {
        this.pending = count;
        this.callback = callback;
    }

    /**
     * Sends the statements.
     *
     * @param callback receives the first failure, or the result of the last statement
     */
    static void run(
            ServerConnection connection,
            List<String> texts,
            long deadline,
            Consumer<ExchangeResult> callback) {
        StatementPipeline pipeline = new StatementPipeline(texts.size(), callback);
        for (String text : texts) {
            connection.executeOwn(text, deadline, pipeline::recordResult);
        }
    }

    private void recordResult(ExchangeResult result) {
        pending--;
        last = result;
        if (failure == null && !(result instanceof ExchangeResult.Completed)) {
            failure = result;
        }
        if (pending == 0) {
            callback.accept(failure == null ? last : failure);
        }
    }
}
