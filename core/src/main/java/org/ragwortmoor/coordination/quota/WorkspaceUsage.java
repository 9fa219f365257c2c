package org.ragwortmoor.coordination.quota;

/**
 * Use of the quota of a workspace by the callers of a proxy. The totals count from when the proxy
 * adopted the epoch, so lost, repeated and reordered reports do no harm.
 *
 * @param usedTotal tokens used
 * @param returnedTotal unused tokens returned
 * @param available unused tokens that the proxy holds
 * @param recentUsed tokens used within the last window; only before the leader has confirmed a
 *     report of the epoch
 * @param waiting operations that wait for a token
 * @param wanted tokens that the proxy wants to hold in advance, including those that it holds
 */
public record WorkspaceUsage(
        String workspace,
        long usedTotal,
        long returnedTotal,
        int available,
        int recentUsed,
        int waiting,
        int wanted) {}
