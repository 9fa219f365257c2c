package org.ragwortmoor.state.workspace;

import io.vavr.control.Option;
import java.util.List;

/**
 * Callers that identify themselves with the same keys.
 *
 * @param name name, which servers are told
 * @param keys keys of the callers; secret
 * @param priority priority among workspaces; 0 is the highest
 * @param limit limit on the operations; none if they are not limited
 */
public record Workspace(String name, List<String> keys, int priority, Option<RateLimit> limit) {
    /** Copies the keys. */
    public Workspace {
        keys = List.copyOf(keys);
    }

    /** Returns a description without the keys, which must not appear in logs or dumps. */
    @Override
    public String toString() {
        return name + "(keys=" + keys.size() + " priority=" + priority + " limit=" + limit + ")";
    }
}
