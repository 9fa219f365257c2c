package org.ragwortmoor.coordination.control;

import java.util.HashMap;
import java.util.Map;
import org.ragwortmoor.coordination.control.ControlUpdate.Share;
import org.ragwortmoor.coordination.control.ProxyReport.Acknowledged;

/**
 * The shares of one proxy, as the proxy itself keeps them.
 *
 * <p>The proxy counts a lease from the sending of its report, so its lease ends before the
 * leader's. The answer to a complete report replaces all shares; the answer to a report with a base
 * has every share that changed after the answer to the base, which was applied before the report
 * was sent. An older update than the last is ignored.
 */
public final class ProxyShares {
    private final Map<EndpointKey, Share> shares = new HashMap<>();
    private final long incarnation;
    private Acknowledged acknowledged = Acknowledged.NONE;
    private long deadline = Long.MIN_VALUE;

    /** Creates the shares of a proxy process, none at first. */
    public ProxyShares(long incarnation) {
        this.incarnation = incarnation;
    }

    /**
     * Applies an update unless a newer one was applied or it is for another process.
     *
     * @param reduced whether the answered report had a base, see {@link ReportChanges#reduced}
     * @return whether it was applied; the other content of an ignored update must be ignored too
     */
    public boolean apply(ControlUpdate update, boolean reduced) {
        if (update.proxyIncarnation() != incarnation
                || update.leaderTerm() < acknowledged.leaderTerm()
                || update.reportSequence() <= acknowledged.sequence()) {
            return false;
        }
        acknowledged =
                new Acknowledged(
                        update.leaderTerm(), update.reportSequence(), update.groupsRevision());
        deadline = update.reportSentAt() + update.shareLeaseMillis() * 1_000_000;
        if (!reduced) {
            shares.clear();
        }
        for (Share share : update.shares()) {
            shares.put(new EndpointKey(share.group(), share.endpoint()), share);
        }
        return true;
    }

    /** Returns the share of each endpoint; of all others the proxy has none. */
    public Map<EndpointKey, Share> shares() {
        return Map.copyOf(shares);
    }

    /** Returns the newest applied update, for the next report. */
    public Acknowledged acknowledged() {
        return acknowledged;
    }

    /** Returns the end of the lease in nanoseconds of the proxy's clock. */
    public long deadline() {
        return deadline;
    }

    /** Returns the connections that the proxy may use at {@code now}. */
    public int connections(EndpointKey key, long now) {
        Share share = shares.get(key);
        if (share == null) {
            return 0;
        }
        return now < deadline ? Math.max(share.floor(), share.connections()) : share.floor();
    }

    /** Returns the long statements that the proxy may run at a time at {@code now}. */
    public int longPermits(EndpointKey key, long now) {
        Share share = shares.get(key);
        return share == null || now >= deadline ? 0 : share.longPermits();
    }
}
