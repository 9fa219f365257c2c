package org.ragwortmoor.coordination.directory;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.ragwortmoor.state.directory.Promotion;
import org.ragwortmoor.state.directory.ServerRecord;

/**
 * Records in the directory, while the primary of a group needs no replacement, what the proxies and
 * the servers show: that a promotion without an answer was carried out, and that the commits of
 * ended servers are held by others.
 */
final class PrimaryConfirmation {
    private final DepartureCheck departureCheck = new DepartureCheck();
    private final SilentLeaverDetector leaverDetector = new SilentLeaverDetector();
    private long nextConfirmationAt;

    /** Discards the state of an earlier leadership. */
    void reset(long now) {
        departureCheck.reset();
        leaverDetector.reset();
        nextConfirmationAt = now;
    }

    void record(ServerRecord server, ServerStatus status) {
        departureCheck.record(server, status);
        leaverDetector.record(server);
    }

    /** Returns the actions that are due. */
    List<FailoverAction> tick(FailoverView view, long now) {
        // Under leases the proxies reach no primary before the platform has confirmed it.
        Option<Promotion> carriedOut =
                view.unconfirmedOrder()
                        .filter(
                                p ->
                                        !view.leases().required()
                                                && view.failureDetector()
                                                        .majorityReaches(
                                                                p.server(), view.observers(), now));
        if (carriedOut.isDefined() && now - nextConfirmationAt >= 0) {
            nextConfirmationAt = now + FailoverSettings.RECORD_RETRY_NANOS;
            return List.of(
                    new FailoverAction.ConfirmPromotion(view.group(), carriedOut.get().token()));
        }
        if (view.syncReplicas() == 0) {
            return List.of();
        }
        List<FailoverAction> actions =
                new ArrayList<>(leaverDetector.tick(view.members().servers(), now));
        actions.addAll(departureCheck.tick(view.group(), view.members(), view.syncReplicas(), now));
        return actions;
    }
}
