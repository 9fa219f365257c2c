package org.ragwortmoor.coordination.control;

import org.ragwortmoor.state.EndpointInfo;
import org.ragwortmoor.state.EndpointStatus;

/**
 * An endpoint's announcement of itself.
 *
 * @param group group to which the endpoint belongs
 * @param size stated number of endpoints of the group
 * @param info the endpoint
 * @param status its status
 * @param sourceSilentMillis milliseconds since the primary that the endpoint follows answered one
 *     of its fetches, or since it began to follow; 0 if it follows none
 */
public record Announcement(
        String group,
        int size,
        EndpointInfo info,
        EndpointStatus status,
        long sourceSilentMillis) {}
