package org.ragwortmoor.coordination.session;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** How often each workspace has used connections to a server lately. */
final class RecentUses {
    /** Time in which the weight of a use falls to 1/e; small workspaces send one in some 20 s. */
    private static final double DECAY_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** Workspaces that are remembered; more than a server has connections. */
    private static final int MAX_WORKSPACES = 1_000;

    private final Map<String, Usage> usages =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Usage> eldest) {
                    return size() > MAX_WORKSPACES;
                }
            };

    private record Usage(double uses, long at) {
        double usesAt(long now) {
            return uses * Math.exp((at - now) / DECAY_NANOS);
        }
    }

    void record(String workspace, long now) {
        usages.put(workspace, new Usage(usesAt(workspace, now) + 1, now));
    }

    /** Returns the number of uses of a workspace, where earlier ones count less. */
    double usesAt(String workspace, long now) {
        Usage usage = usages.get(workspace);
        return usage == null ? 0 : usage.usesAt(now);
    }
}
