package org.ragwortmoor.cli;

import java.util.function.Function;
import java.util.function.Supplier;

/** A command that makes one request without arguments and prints the answer. */
final class ApiRequest extends ApiCommand {
    private final Function<ApiClient, ApiResult> request;

    private ApiRequest(Function<ApiClient, ApiResult> request) {
        this.request = request;
    }

    /** Returns a command that reads from {@code path}. */
    static Supplier<Command> get(String path) {
        return () -> new ApiRequest(client -> client.get(path));
    }

    /** Returns a command that posts to {@code path}; repeating the post must have no effect. */
    static Supplier<Command> post(String path) {
        return () -> new ApiRequest(client -> client.post(path, Console.object()));
    }

    @Override
    ApiResult request(ApiClient client, Console console) {
        return request.apply(client);
    }
}
