package org.ragwortmoor.state.routes;

import io.vavr.control.Option;

/**
 * Refuses a route to a group that the table does not define.
 *
 * <p>Such a route could never serve a statement, and its limits would be unknown.
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
