package org.ragwortmoor.coordination.control;

/**
 * Identifies an endpoint across all groups.
 *
 * @param group name of the group
 * @param endpoint identifier of the endpoint within the group
 */
public record EndpointKey(String group, String endpoint) implements Comparable<EndpointKey> {
    @Override
    public int compareTo(EndpointKey other) {
        int byGroup = group.compareTo(other.group);
        return byGroup != 0 ? byGroup : endpoint.compareTo(other.endpoint);
    }
}
