package org.ragwortmoor.state.routes;

/** The freshness that a route promises to its reads. */
public enum RouteKind {
    /** A read sees every acknowledged commit. */
    PRIMARY,
    /** A read may miss commits that are younger than the route's staleness bound. */
    BOUNDED_STALENESS,
    /** As {@link #BOUNDED_STALENESS}, but a read sees every commit of its own session. */
    READ_YOUR_WRITES
}
