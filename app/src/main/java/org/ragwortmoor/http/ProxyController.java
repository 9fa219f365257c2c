package org.ragwortmoor.http;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Post;
import java.util.concurrent.CompletionStage;
import org.ragwortmoor.http.CallerBodies.Answer;
import org.ragwortmoor.http.CallerBodies.BeginBody;
import org.ragwortmoor.http.CallerBodies.OutcomeBody;
import org.ragwortmoor.http.CallerBodies.ReadBody;
import org.ragwortmoor.http.CallerBodies.SessionBody;
import org.ragwortmoor.http.CallerBodies.TransactionBody;
import org.ragwortmoor.http.CallerBodies.WriteBody;

/** Serves the caller API under {@code /v1}. */
@Controller("/v1")
@Requires(bean = ProxyApi.class)
final class ProxyController {
    private final ProxyApi proxy;

    ProxyController(ProxyApi proxy) {
        this.proxy = proxy;
    }

    @Post("/sessions")
    HttpResponse<?> openSession(@Body SessionBody body) {
        return proxy.openSession(body)
                .fold(
                        error ->
                                HttpResponse.status(StatusMapping.of(error.kind()))
                                        .body(
                                                Answer.notRun(
                                                        error.kind(),
                                                        error.message(),
                                                        error.retryAfterMillis())),
                        HttpResponse::ok);
    }

    @Post("/read")
    CompletionStage<HttpResponse<Answer>> read(@Body ReadBody body) {
        return respond(proxy.read(body));
    }

    @Post("/write")
    CompletionStage<HttpResponse<Answer>> write(@Body WriteBody body) {
        return respond(proxy.write(body));
    }

    @Post("/transactions")
    CompletionStage<HttpResponse<Answer>> begin(@Body BeginBody body) {
        return respond(proxy.begin(body));
    }

    @Post("/transactions/execute")
    CompletionStage<HttpResponse<Answer>> execute(@Body TransactionBody body) {
        return respond(proxy.execute(body));
    }

    @Post("/transactions/commit")
    CompletionStage<HttpResponse<Answer>> commit(@Body TransactionBody body) {
        return respond(proxy.commit(body));
    }

    @Post("/transactions/rollback")
    CompletionStage<HttpResponse<Answer>> rollback(@Body TransactionBody body) {
        return respond(proxy.rollback(body));
    }

    @Post("/outcome")
    CompletionStage<HttpResponse<Answer>> outcome(@Body OutcomeBody body) {
        return respond(proxy.outcome(body));
    }

    private static CompletionStage<HttpResponse<Answer>> respond(CompletionStage<Answer> answer) {
        return answer.thenApply(
                a -> {
                    HttpStatus status =
                            a.error() == null ? HttpStatus.OK : StatusMapping.of(a.error().kind());
                    return HttpResponse.<Answer>status(status).body(a);
                });
    }
}
