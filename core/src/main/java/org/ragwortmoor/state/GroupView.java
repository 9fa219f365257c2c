package org.ragwortmoor.state;

import io.vavr.control.Option;
import java.util.List;

/**
 * The description of a group that the control group sends to proxies.
 *
 * @param group name of the group
 * @param size configured number of endpoints of the group; majorities are computed from it
 * @param term newest term for which a primary was elected; 0 before the first election
 * @param primary endpoint that was promoted for {@code term}
 * @param endpoints the known endpoints, at most {@code size}
 */
public record GroupView(
        String group, int size, long term, Option<String> primary, List<EndpointInfo> endpoints) {
    /** Copies the list. */
    public GroupView {
        endpoints = List.copyOf(endpoints);
    }

    /** Returns the number of endpoints that form a majority. */
    public int majority() {
        return size / 2 + 1;
    }

    /** Returns the endpoint with this identifier. */
    public Option<EndpointInfo> endpoint(String name) {
        return io.vavr.collection.List.ofAll(endpoints).find(e -> e.endpoint().equals(name));
    }
}
