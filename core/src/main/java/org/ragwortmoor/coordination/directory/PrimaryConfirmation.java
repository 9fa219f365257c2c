package org.ragwortmoor.coordination.directory;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.ragwortmoor.state.directory.Promotion;
import org.ragwortmoor.state.directory.ServerRecord;

/**
 * Finds out, while the primary of a group needs no replacement, what the proxies and the servers
 * show: that a promotion without an answer was carried out, and which servers have ended without
 * commits that only they held.
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

    /** Returns an order without a confirmation if the proxies reach its server as the primary. */
    Option<Promotion> carriedOut(FailoverView view, long now) {
        // Under leases the proxies reach no primary before the platform has confirmed it.
        if (view.leases().required() || now - nextConfirmationAt < 0) {
            return Option.none();
        }
        Option<Promotion> found =
                view.unconfirmedOrder()
                        .filter(
                                p ->
                                        view.failureDetector()
                                                .majorityReaches(
                                                        p.server(), view.observers(), now));
        if (found.isDefined()) {
            nextConfirmationAt = now + FailoverSettings.RECORD_RETRY_NANOS;
        }
        return found;
    }

    /** Returns the actions that are due for servers that leave or have ended. */
    List<FailoverAction> tick(FailoverView view, long now) {
        if (view.syncReplicas() == 0) {
            return List.of();
        }
        List<FailoverAction> actions =
                new ArrayList<>(leaverDetector.tick(view.members().servers(), now));
        actions.addAll(departureCheck.tick(view.group(), view.members(), view.syncReplicas(), now));
        return actions;
    }
}
