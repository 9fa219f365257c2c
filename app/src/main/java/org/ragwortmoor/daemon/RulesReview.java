package org.ragwortmoor.daemon;

import java.util.List;
import org.ragwortmoor.coordination.activation.AdmittedRequests.Revocation;

/** Decides again on the requests in flight when the rules or their lease change. */
interface RulesReview {
    /** Returns true once after each end of the rules lease; cheap enough for each engine event. */
    boolean leaseEnded();

    /** Returns the requests in flight that the rules do not allow any more. */
    List<Revocation> review();
}
