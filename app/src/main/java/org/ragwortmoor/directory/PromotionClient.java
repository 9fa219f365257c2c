package org.ragwortmoor.directory;

import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import org.ragwortmoor.coordination.directory.CallOutcome;
import org.ragwortmoor.state.directory.Promotion;

/** Client of the platform interface that promotes a server to primary of its group. */
public interface PromotionClient {
    /**
     * Requests a promotion with its fencing token. If the response is lost, the outcome is unknown.
     *
     * @param stillValid checked immediately before the request is sent; if false, it is not sent
     */
    CompletionStage<CallOutcome> promote(Promotion promotion, BooleanSupplier stillValid);
}
