package org.ragwortmoor.coordination.session;

import org.ragwortmoor.coordination.placement.ConnectionPlan;

/**
 * Limits on the connections of this proxy to each server of a group.
 *
 * @param guaranteed connections available to this proxy as long as no proxy exceeds its share
 * @param retained connections that are kept open while idle
 * @param maximum connections that may be opened while the server still accepts them
 */
record ConnectionShare(int guaranteed, int retained, int maximum) {
    /**
     * Returns the share of one proxy.
     *
     * @param holds whether the plan has this proxy hold connections; if not, it needs them only
     *     while it cannot reach those that do, and keeps none
     * @param workspaces whether there are workspaces; an idle connection then serves only one, so
     *     the guaranteed ones are all kept
     */
    static ConnectionShare of(ConnectionPlan plan, boolean holds, boolean workspaces) {
        if (!holds) {
            return new ConnectionShare(1, 0, plan.guaranteed());
        }
        int retained = workspaces ? plan.guaranteed() : plan.retained();
        return new ConnectionShare(plan.guaranteed(), retained, plan.maximum());
    }
}
