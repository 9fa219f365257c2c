package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;

/** Decides whether an endpoint has failed. */
interface SuspicionRule {
    /** Returns the reason why the endpoint is suspected, if it is. */
    Option<String> suspicion(EndpointKey key, long now);
}
