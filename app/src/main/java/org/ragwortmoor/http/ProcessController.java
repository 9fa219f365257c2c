package org.ragwortmoor.http;

import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.Post;
import io.micronaut.scheduling.TaskExecutors;
import io.micronaut.scheduling.annotation.ExecuteOn;
import java.util.Map;

/** Serves health, status, dump, metrics and planned stop of any process. */
@Controller
@Requires(bean = ProcessApi.class)
@ExecuteOn(TaskExecutors.BLOCKING)
final class ProcessController {
    private final ProcessApi process;

    ProcessController(ProcessApi process) {
        this.process = process;
    }

    @Get("/health/live")
    Map<String, Boolean> live() {
        return Map.of("live", true);
    }

    @Get("/health/ready")
    HttpResponse<Map<String, Boolean>> ready() {
        boolean ready = process.ready();
        return (ready ? HttpResponse.ok() : HttpResponse.serverError().status(503))
                .body(Map.of("ready", ready));
    }

    @Get("/v1/status")
    Object status() {
        return process.status();
    }

    @Get("/v1/dump")
    Object dump() {
        return process.dump();
    }

    @Post("/v1/drain")
    Map<String, String> drain() {
        process.drain();
        return Map.of("outcome", "done", "message", "the planned stop has begun");
    }

    @Get(value = "/metrics", produces = MediaType.TEXT_PLAIN)
    String metrics() {
        return process.metrics();
    }
}
