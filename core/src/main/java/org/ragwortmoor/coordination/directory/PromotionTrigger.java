package org.ragwortmoor.coordination.directory;

import io.vavr.control.Option;
import java.util.Set;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerState;

/** Decides whether a server of a group has to be promoted, and why. */
final class PromotionTrigger {
    private Option<Long> noPrimarySince = Option.none();
    private long electedAt;

    /** Discards the state of an earlier leadership. */
    void reset(long now) {
        noPrimarySince = Option.none();
        electedAt = now;
    }

    /**
     * Returns why a server has to be promoted, or an empty string if none has.
     *
     * @param rejected ids of the servers whose promotion the platform has rejected
     * @param releasing whether the end of the last failover was found
     */
    String reason(FailoverView view, Set<String> rejected, boolean releasing, long now) {
        Option<ServerRecord> primary = view.state().primary(view.group());
        boolean primaryRejected = primary.exists(p -> rejected.contains(p.id()));
        if (view.leases().required() && view.unconfirmedOrder().isDefined() && primaryRejected) {
            return "the promotion of " + primary.get().id() + " was rejected";
        }
        String found = lossOfPrimary(view, primary, now);
        boolean settled = now - electedAt >= FailoverSettings.INHERITED_FAILOVER_NANOS;
        return found.isEmpty() && view.replication().suspended() && !releasing && settled
                ? "an earlier failover has not ended"
                : found;
    }

    private String lossOfPrimary(FailoverView view, Option<ServerRecord> primary, long now) {
        if (primary.isEmpty()) {
            boolean ended = view.state().promotions().containsKey(view.group());
            return ended || noPrimaryTimedOut(view.state(), view.group(), now)
                    ? "the group has no primary"
                    : "";
        }
        noPrimarySince = Option.none();
        return primary.get().state() == ServerState.DRAINING
                ? "primary " + primary.get().id() + " is draining"
                : view.failureDetector().failureReason(view.observers(), now);
    }

    /**
     * Returns whether the group has had no primary for too long. The timeout is needed at startup,
     * when replicas may announce themselves before the primary does.
     */
    private boolean noPrimaryTimedOut(DirectoryState state, String group, long now) {
        if (state.members(group).size() < 2) {
            return false;
        }
        if (noPrimarySince.isEmpty()) {
            noPrimarySince = Option.some(now);
        }
        return now - noPrimarySince.get() >= FailoverSettings.NO_PRIMARY_TIMEOUT_NANOS;
    }
}
