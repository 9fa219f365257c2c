package org.ragwortmoor.state.routes;

/**
 * A route from a database name to a group of servers.
 *
 * @param name name of the route
 * @param database database name with which callers connect
 * @param prefix second part of the route's identity; statements do not use it
 * @param kind consistency of reads
 * @param group group that serves the database
 * @param timeoutMillis timeout of a statement, in milliseconds
 * @param targetMillis latency objective of an operation, in milliseconds
 * @param priority priority of the route; 0 is the highest
 * @param maxStalenessMillis maximum age of commits that a read may miss, in milliseconds
 * @param keyExempt whether callers need no key where workspaces are configured
 */
public record Route(
        String name,
        String database,
        String prefix,
        RouteKind kind,
        String group,
        int timeoutMillis,
        int targetMillis,
        int priority,
        int maxStalenessMillis,
        boolean keyExempt) {
    /** Creates a route whose callers need a key where workspaces are configured. */
    public Route(
            String name,
            String database,
            String prefix,
            RouteKind kind,
            String group,
            int timeoutMillis,
            int targetMillis,
            int priority,
            int maxStalenessMillis) {
        this(
                name,
                database,
                prefix,
                kind,
                group,
                timeoutMillis,
                targetMillis,
                priority,
                maxStalenessMillis,
                false);
    }

    /** Returns the identity of the route: its database and prefix, which no other route has. */
    public String identity() {
        return database + '\n' + prefix;
    }
}
