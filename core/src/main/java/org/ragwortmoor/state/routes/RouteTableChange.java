package org.ragwortmoor.state.routes;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortmoor.state.workspace.WorkspaceChanges;

/**
 * The difference between two route tables, which is much smaller than a table of many routes.
 *
 * @param version version of the new table
 * @param removed identities of the routes that are no longer there, see {@link Route#identity}
 * @param changed routes that are new or have changed
 * @param groups all groups of the new table
 * @param idleTransactionMillis time after which an idle transaction may be ended, in milliseconds
 * @param workspaces changes of the workspaces; none if the new table has no workspaces
 */
public record RouteTableChange(
        long version,
        List<String> removed,
        List<Route> changed,
        List<GroupLimits> groups,
        int idleTransactionMillis,
        Option<WorkspaceChanges> workspaces) {
    /** Copies the lists. */
    public RouteTableChange {
        removed = List.copyOf(removed);
        changed = List.copyOf(changed);
        groups = List.copyOf(groups);
    }

    /** Returns the change from one table to another. */
    public static RouteTableChange between(RouteTable from, RouteTable to) {
        Map<String, Route> known = byIdentity(from.routes());
        List<Route> changed = new ArrayList<>();
        for (Route route : to.routes()) {
            if (!route.equals(known.remove(route.identity()))) {
                changed.add(route);
            }
        }
        return new RouteTableChange(
                to.version(),
                List.copyOf(known.keySet()),
                changed,
                to.groups(),
                to.idleTransactionMillis(),
                to.workspaces()
                        .map(
                                w ->
                                        WorkspaceChanges.between(
                                                from.workspaces().getOrElse(List.of()), w)));
    }

    /** Returns the table after this change; without the operator's text. */
    public RouteTable applyTo(RouteTable table) {
        Map<String, Route> routes = byIdentity(table.routes());
        removed.forEach(routes::remove);
        changed.forEach(route -> routes.put(route.identity(), route));
        return new RouteTable(
                version,
                List.copyOf(routes.values()),
                groups,
                idleTransactionMillis,
                workspaces.map(w -> w.applyTo(table.workspaces().getOrElse(List.of()))),
                "");
    }

    private static Map<String, Route> byIdentity(List<Route> routes) {
        Map<String, Route> found = new LinkedHashMap<>();
        routes.forEach(route -> found.put(route.identity(), route));
        return found;
    }
}
