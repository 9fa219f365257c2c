package org.ragwortmoor.state.routes;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.Map;

/**
 * Rejects two routes with the same database and path prefix.
 *
 * <p>Which route a session uses would depend on their order.
 */
final class UniqueRoutes implements RouteTableCheck {
    @Override
    public Option<String> problem(RouteTable table) {
        Map<String, String> seen = new HashMap<>();
        for (Route route : table.routes()) {
            String other = seen.put(route.identity(), route.name());
            if (other != null) {
                return Option.some(
                        "routes '"
                                + other
                                + "' and '"
                                + route.name()
                                + "' have the same database and prefix; remove one of them");
            }
        }
        return Option.none();
    }
}
