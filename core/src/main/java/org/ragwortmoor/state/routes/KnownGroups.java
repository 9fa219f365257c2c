package org.ragwortmoor.state.routes;

import io.vavr.control.Option;

/**
 * Rejects a route to a group that the table does not define.
 *
 * <p>Such a route cannot serve any statement, and its limits are unknown.
 */
final class KnownGroups implements RouteTableCheck {
    @Override
    public Option<String> problem(RouteTable table) {
        for (Route route : table.routes()) {
            if (table.group(route.group()).isEmpty()) {
                return Option.some(
                        "route '"
                                + route.name()
                                + "' names the unknown group '"
                                + route.group()
                                + "'; define the group in the same configuration");
            }
        }
        return Option.none();
    }
}
