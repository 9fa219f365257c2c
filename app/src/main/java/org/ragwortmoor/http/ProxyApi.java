package org.ragwortmoor.http;

import io.vavr.control.Either;
import java.util.concurrent.CompletionStage;
import org.ragwortmoor.http.CallerBodies.Answer;
import org.ragwortmoor.http.CallerBodies.BeginBody;
import org.ragwortmoor.http.CallerBodies.ErrorBody;
import org.ragwortmoor.http.CallerBodies.OutcomeBody;
import org.ragwortmoor.http.CallerBodies.ReadBody;
import org.ragwortmoor.http.CallerBodies.SessionAnswer;
import org.ragwortmoor.http.CallerBodies.SessionBody;
import org.ragwortmoor.http.CallerBodies.TransactionBody;
import org.ragwortmoor.http.CallerBodies.WriteBody;

/**
 * What a proxy offers to callers. Every stage completes normally, with an outcome in the answer.
 */
public interface ProxyApi {
    /** Opens a session; refuses while the proxy has no token key or is stopping. */
    Either<ErrorBody, SessionAnswer> openSession(SessionBody body);

    /** Reads records. */
    CompletionStage<Answer> read(ReadBody body);

    /** Runs operations as one transaction. */
    CompletionStage<Answer> write(WriteBody body);

    /** Begins a transaction. */
    CompletionStage<Answer> begin(BeginBody body);

    /** Runs operations within a transaction. */
    CompletionStage<Answer> execute(TransactionBody body);

    /** Commits a transaction. */
    CompletionStage<Answer> commit(TransactionBody body);

    /** Rolls back a transaction. */
    CompletionStage<Answer> rollback(TransactionBody body);

    /** Returns the outcome of an earlier write. */
    CompletionStage<Answer> outcome(OutcomeBody body);
}
