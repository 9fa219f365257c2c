package org.ragwortmoor.state.routes;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.ragwortmoor.state.statement.NameField;
import org.ragwortmoor.state.workspace.Workspace;

/**
 * A complete configuration of routes.
 *
 * @param version version that the operator chose; the table with the highest one is active
 * @param routes all routes
 * @param groups all groups to which routes may refer
 * @param idleTransactionMillis time after which an idle transaction may be ended, in milliseconds
 * @param workspaces all workspaces; none if callers need no keys
 * @param source text that the operator sent, returned unchanged when the routes are read
 */
public record RouteTable(
        long version,
        List<Route> routes,
        List<GroupLimits> groups,
        int idleTransactionMillis,
        Option<List<Workspace>> workspaces,
        String source) {
    /** The table before the first configuration. */
    public static final RouteTable EMPTY =
            new RouteTable(0, List.of(), List.of(), 0, Option.none(), "");

    /** Copies the lists. */
    public RouteTable {
        routes = List.copyOf(routes);
        groups = List.copyOf(groups);
        workspaces = workspaces.map(List::copyOf);
    }

    /** Creates a table without workspaces, whose callers need no keys. */
    public RouteTable(
            long version,
            List<Route> routes,
            List<GroupLimits> groups,
            int idleTransactionMillis,
            String source) {
        this(version, routes, groups, idleTransactionMillis, Option.none(), source);
    }

    /**
     * Returns the routes by the message field with which callers name the database; of several, the
     * one with the lowest prefix.
     */
    public Map<String, Route> byDatabase() {
        Map<String, Route> found = new HashMap<>();
        for (Route route : routes) {
            found.merge(
                    NameField.format(route.database()),
                    route,
                    (a, b) -> a.prefix().compareTo(b.prefix()) <= 0 ? a : b);
        }
        return found;
    }

    /** Returns the names of the workspaces; none if callers need no keys. */
    public Option<Set<String>> workspaceNames() {
        return workspaces.map(
                list -> list.stream().map(Workspace::name).collect(Collectors.toUnmodifiableSet()));
    }

    /** Returns the limits of a group, if the table has it. */
    public Option<GroupLimits> group(String name) {
        return Option.ofOptional(groups.stream().filter(g -> g.name().equals(name)).findFirst());
    }

    /** Returns a description without the source and the keys, which must not appear in logs. */
    @Override
    public String toString() {
        return "RouteTable(version="
                + version
                + " routes="
                + routes
                + " groups="
                + groups
                + " workspaces="
                + workspaces
                + ")";
    }
}
