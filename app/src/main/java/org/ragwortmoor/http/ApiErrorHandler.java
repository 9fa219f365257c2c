package org.ragwortmoor.http;

import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.server.exceptions.response.ErrorContext;
import io.micronaut.http.server.exceptions.response.ErrorResponseProcessor;
import jakarta.inject.Singleton;
import org.ragwortmoor.http.CallerBodies.Answer;

/** Gives errors that the server itself detects, such as malformed JSON, the form of an answer. */
@Singleton
final class ApiErrorHandler implements ErrorResponseProcessor<Answer> {
    @Override
    public MutableHttpResponse<Answer> processResponse(
            ErrorContext context, MutableHttpResponse<?> response) {
        HttpRequest<?> request = context.getRequest();
        HttpStatus status = response.status();
        String detail =
                context.getErrors().isEmpty()
                        ? status.getReason()
                        : context.getErrors().get(0).getMessage();
        return response.body(
                Answer.notRun(
                        "BAD_REQUEST",
                        request.getMethodName()
                                + " "
                                + request.getPath()
                                + ": "
                                + detail
                                + "; see docs/api.md for paths and bodies",
                        0));
    }
}
