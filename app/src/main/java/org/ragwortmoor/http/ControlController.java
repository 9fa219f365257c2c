package org.ragwortmoor.http;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.micronaut.scheduling.TaskExecutors;
import io.micronaut.scheduling.annotation.ExecuteOn;
import java.util.concurrent.CompletionStage;
import org.ragwortmoor.http.ControlApi.ApplyBody;
import org.ragwortmoor.http.ControlApi.EndpointBody;
import org.ragwortmoor.http.ControlApi.OperatorAnswer;
import org.ragwortmoor.http.ControlApi.ProxyBody;
import org.ragwortmoor.http.ControlApi.RepairBody;

/** Serves the operator API under {@code /v1}. */
@Controller("/v1")
@Requires(bean = ControlApi.class)
final class ControlController {
    private final ControlApi control;

    ControlController(ControlApi control) {
        this.control = control;
    }

    @Post("/rules")
    CompletionStage<HttpResponse<OperatorAnswer>> applyRules(@Body ApplyBody body) {
        return respond(control.applyRules(body));
    }

    @Get("/rules")
    HttpResponse<OperatorAnswer> rules() {
        return response(control.rules());
    }

    @Get("/rules/history")
    HttpResponse<OperatorAnswer> rulesHistory() {
        return response(control.rulesHistory());
    }

    @Get("/backup")
    @ExecuteOn(TaskExecutors.BLOCKING)
    HttpResponse<OperatorAnswer> backup() {
        return response(control.backup());
    }

    @Post("/endpoints/drain")
    CompletionStage<HttpResponse<OperatorAnswer>> drainEndpoint(@Body EndpointBody body) {
        return respond(control.drainEndpoint(body));
    }

    @Post("/proxies/remove")
    CompletionStage<HttpResponse<OperatorAnswer>> removeProxy(@Body ProxyBody body) {
        return respond(control.removeProxy(body));
    }

    @Post("/members/repair")
    CompletionStage<HttpResponse<OperatorAnswer>> repair(@Body RepairBody body) {
        return respond(control.repair(body));
    }

    private static CompletionStage<HttpResponse<OperatorAnswer>> respond(
            CompletionStage<OperatorAnswer> answer) {
        return answer.thenApply(ControlController::response);
    }

    private static HttpResponse<OperatorAnswer> response(OperatorAnswer answer) {
        HttpStatus status =
                switch (answer.outcome()) {
                    case "done" -> HttpStatus.OK;
                    case "pending" -> HttpStatus.ACCEPTED;
                    case "not-leader" -> HttpStatus.MISDIRECTED_REQUEST;
                    case "unknown" -> HttpStatus.GATEWAY_TIMEOUT;
                    default -> notRunStatus(answer.kind());
                };
        return HttpResponse.<OperatorAnswer>status(status).body(answer);
    }

    private static HttpStatus notRunStatus(String kind) {
        if ("CONFLICT".equals(kind)) {
            return HttpStatus.CONFLICT;
        }
        return "NO_QUORUM".equals(kind) ? HttpStatus.SERVICE_UNAVAILABLE : HttpStatus.BAD_REQUEST;
    }
}
