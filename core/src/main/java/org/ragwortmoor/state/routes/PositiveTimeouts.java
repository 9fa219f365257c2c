package org.ragwortmoor.state.routes;

import io.vavr.control.Option;

/**
 * Rejects a route whose statement timeout is not positive.
 *
 * <p>Every statement on such a route would time out.
 */
final class PositiveTimeouts implements RouteTableCheck {
    @Override
    public Option<String> problem(RouteTable table) {
        for (Route route : table.routes()) {
            if (route.timeoutMillis() <= 0) {
                return Option.some(
                        "route '" + route.name() + "' has no timeout; give 1 ms or more");
            }
        }
        return Option.none();
    }
}
