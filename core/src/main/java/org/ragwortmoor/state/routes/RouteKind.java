package org.ragwortmoor.state.routes;

/** The consistency that a route guarantees for reads. */
public enum RouteKind {
    /** A read sees every acknowledged commit. */
    PRIMARY,
    /** A read may miss commits that are younger than the route's staleness bound. */
    BOUNDED_STALENESS,
    /** Like {@link #BOUNDED_STALENESS}, but a read also sees every commit of its own session. */
    READ_YOUR_WRITES
}
