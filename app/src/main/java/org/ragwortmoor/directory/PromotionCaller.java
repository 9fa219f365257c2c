package org.ragwortmoor.directory;

import java.util.concurrent.CompletionStage;
import org.ragwortmoor.coordination.directory.CallOutcome;
import org.ragwortmoor.state.directory.Promotion;

/** Asks the platform to make a server the primary of its group. */
public interface PromotionCaller {
    /** Sends an order with its fencing token; the answer may be lost. */
    CompletionStage<CallOutcome> promote(Promotion promotion);
}
