package org.ragwortmoor.state.routes;

/**
 * A route from a database name to a group of servers.
 *
 * @param name name of the route
 * @param database name under which callers connect
 * @param prefix second part of the route's identity; statements do not use it
 * @param kind freshness of reads
 * @param group the group that serves the database
 * @param timeoutMillis longest time of one statement, in milliseconds
 * @param targetMillis latency objective of an operation, in milliseconds
 * @param priority 0 is the most urgent
 * @param maxStalenessMillis age up to which commits may be missed, in milliseconds
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
        int maxStalenessMillis) {}
