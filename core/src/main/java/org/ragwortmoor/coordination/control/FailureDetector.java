package org.ragwortmoor.coordination.control;

import io.vavr.control.Option;

/** Decides whether an endpoint has failed. */
interface FailureDetector {
    /** Returns the reason why the endpoint is suspected to have failed, or none. */
    Option<String> suspicion(EndpointKey key, long now);
}
