package org.ragwortmoor.coordination.control;

import org.ragwortmoor.state.EndpointInfo;
import org.ragwortmoor.state.EndpointStatus;

/**
 * A periodic announcement that an endpoint sends to the control processes.
 *
 * @param group group to which the endpoint belongs
 * @param size configured number of endpoints in the group
 * @param info identity, address and capacity of the endpoint
 * @param status replication status of the endpoint
 * @param sourceSilentMillis milliseconds since the followed primary last answered a fetch of this
 *     endpoint, or since the endpoint started to follow; 0 if it follows no primary
 */
public record Announcement(
        String group,
        int size,
        EndpointInfo info,
        EndpointStatus status,
        long sourceSilentMillis) {}
