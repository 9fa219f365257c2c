package org.ragwortmoor.coordination.activation;

import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * Counts the requests in flight per rules version under which they were admitted. Safe for
 * concurrent use.
 *
 * <p>A proxy reports a version as applied only when no request admitted under an older one is in
 * flight. Otherwise a write that waits in a queue could change a partner's record after the version
 * that forbids it was reported to be in force, and the hand-back would miss the change.
 */
public final class VersionUsage {
    private final ConcurrentSkipListMap<Long, Integer> inFlight = new ConcurrentSkipListMap<>();

    /** Registers a request; call it before the request is decided on. */
    public void enter(long version) {
        inFlight.merge(version, 1, Integer::sum);
    }

    /** Removes a request that {@link #enter} registered under the same version. */
    public void exit(long version) {
        inFlight.computeIfPresent(version, (v, count) -> count == 1 ? null : count - 1);
    }

    /** Returns the version that a proxy with this active version may report as applied. */
    public long applied(long active) {
        Map.Entry<Long, Integer> oldest = inFlight.firstEntry();
        return oldest == null ? active : Math.min(active, oldest.getKey());
    }
}
