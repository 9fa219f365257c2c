package org.ragwortmoor.state.routes;

import io.vavr.control.Option;

/**
 * Refuses a route whose statement timeout is not positive.
 *
 * <p>No statement could end in time on such a route.
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
