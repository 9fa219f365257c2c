package org.ragwortmoor.state;

import io.vavr.control.Option;
import java.util.List;

/**
 * A group as the control group describes it to proxies.
 *
 * @param group name of the group
 * @param size number of endpoints that the group is made of; majorities are counted against it
 * @param term newest term for which a primary was decided; 0 before the first
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
