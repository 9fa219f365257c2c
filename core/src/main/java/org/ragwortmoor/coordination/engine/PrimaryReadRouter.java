package org.ragwortmoor.coordination.engine;

/** Baseline router: every read runs on the primary. */
final class PrimaryReadRouter implements ReadRouter {
    @Override
    public Route route(Need need) {
        return new Route.Primary();
    }
}
