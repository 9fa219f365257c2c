package org.ragwortmoor.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.ragwortmoor.settings.Address;
import org.ragwortmoor.settings.Setting;

/** A command that uses the HTTP API of running processes. */
abstract class ApiCommand extends JsonCommand {
    private static final String ADDRESSES = "addresses";

    @Option(
            name = "--" + ADDRESSES,
            metaVar = "IP:PORT,...",
            usage = "HTTP addresses, tried in turn; default: RAGWORTMOOR_ADDRESSES")
    private String given;

    @Option(
            name = "--timeout",
            metaVar = "MS",
            usage = "longest wait for the answer of one address, in milliseconds")
    private int timeoutMillis = 15_000;

    /** Makes the requests; returns the result to print. */
    abstract ApiResult request(ApiClient client, Console console);

    /** Prints the answer of a request that was carried out. */
    void print(ApiResult result, Console console) {
        console.printText(result.body());
    }

    @Override
    public final ExitCode run(Console console) {
        Either<String, List<Address>> addresses = addresses(console);
        if (addresses.isLeft() || timeoutMillis <= 0) {
            console.err()
                    .println(
                            addresses.isLeft()
                                    ? addresses.getLeft()
                                    : "--timeout is not positive; give milliseconds");
            return ExitCode.USAGE;
        }
        ApiClient client = new ApiClient(addresses.get(), Duration.ofMillis(timeoutMillis));
        ApiResult result = request(client, console);
        if (json()) {
            console.printJson(result.body().isEmpty() ? json(result) : result.body());
        } else if (result.done()) {
            print(result, console);
        }
        if (!result.done()) {
            console.err().println(result.message());
        }
        return result.exitCode();
    }

    private static ObjectNode json(ApiResult result) {
        return Console.object()
                .put("exitCode", result.exitCode().code())
                .put("message", result.message());
    }

    private Either<String, List<Address>> addresses(Console console) {
        String variable = Setting.variable(ADDRESSES);
        String text = given != null ? given : console.environment().get(variable);
        if (text == null) {
            return Either.left("no address is given; name one with --addresses or " + variable);
        }
        List<Address> addresses = new ArrayList<>();
        for (String part : text.split(",", -1)) {
            Either<String, Address> address = Address.parse(part.strip());
            if (address.isLeft()) {
                return Either.left(address.getLeft() + "; write --addresses IP:PORT,IP:PORT");
            }
            addresses.add(address.get());
        }
        return Either.right(addresses);
    }
}
