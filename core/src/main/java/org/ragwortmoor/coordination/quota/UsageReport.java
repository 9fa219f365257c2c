package org.ragwortmoor.coordination.quota;

import java.util.List;

/**
 * The part of a proxy's report that concerns quotas.
 *
 * @param epoch epoch of the proxy's tokens; 0 if it has none
 * @param complete whether the proxy has held a lease without a gap for so long that no earlier
 *     process of its name can have used a token within the last window
 */
public record UsageReport(long epoch, boolean complete, List<WorkspaceUsage> usage) {
    /** Copies the list. */
    public UsageReport {
        usage = List.copyOf(usage);
    }
}
