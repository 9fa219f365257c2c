package org.ragwortmoor.coordination.control;

import java.util.HashMap;
import java.util.Map;
import org.ragwortmoor.coordination.control.ControlUpdate.Share;
import org.ragwortmoor.coordination.control.ProxyReport.Acknowledged;

/**
 * The shares of one proxy, on the side of the proxy.
 *
 * <p>The proxy counts a lease from the time at which it sent the report, so the lease ends at the
 * proxy before it ends at the leader. The answer to a complete report replaces all shares. The
 * answer to a report with a base contains every share that changed after the answer to the base,
 * which was applied before the report was sent. Updates that are older than the last applied one
 * are ignored.
 */
public final class ProxyShares {
    private final Map<EndpointKey, Share> shares = new HashMap<>();
    private final long incarnation;
    private Acknowledged acknowledged = Acknowledged.NONE;
    private long deadline = Long.MIN_VALUE;

    /** Creates the shares of a proxy process; initially there are none. */
    public ProxyShares(long incarnation) {
        this.incarnation = incarnation;
    }

    /**
     * Applies an update unless a newer one was applied or it is for another incarnation.
     *
     * @param delta whether the answered report had a base, see {@link ReportDeltaEncoder#isDelta}
     * @return whether the update was applied; the other content of an ignored update must be
     *     ignored as well
     */
    public boolean apply(ControlUpdate update, boolean delta) {
        if (update.proxyIncarnation() != incarnation
                || update.leaderTerm() < acknowledged.leaderTerm()
                || update.reportSequence() <= acknowledged.sequence()) {
            return false;
        }
        acknowledged =
                new Acknowledged(
                        update.leaderTerm(), update.reportSequence(), update.groupsRevision());
        deadline = update.reportSentAt() + update.shareLeaseMillis() * 1_000_000;
        if (!delta) {
            shares.clear();
        }
        for (Share share : update.shares()) {
            shares.put(new EndpointKey(share.group(), share.endpoint()), share);
        }
        return true;
    }

    /** Returns the shares by endpoint; the proxy has no share of any other endpoint. */
    public Map<EndpointKey, Share> shares() {
        return Map.copyOf(shares);
    }

    /** Returns the acknowledgement of the newest applied update, for the next report. */
    public Acknowledged acknowledged() {
        return acknowledged;
    }

    /** Returns the end of the leases in nanoseconds of the proxy's clock. */
    public long deadline() {
        return deadline;
    }

    /** Returns the number of connections that the proxy may use at {@code now}. */
    public int connections(EndpointKey key, long now) {
        Share share = shares.get(key);
        if (share == null) {
            return 0;
        }
        return now < deadline ? Math.max(share.floor(), share.connections()) : share.floor();
    }

    /** Returns the number of long statements that the proxy may run concurrently at {@code now}. */
    public int longPermits(EndpointKey key, long now) {
        Share share = shares.get(key);
        return share == null || now >= deadline ? 0 : share.longPermits();
    }
}
