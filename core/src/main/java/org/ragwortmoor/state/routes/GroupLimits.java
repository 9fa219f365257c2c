package org.ragwortmoor.state.routes;

/**
 * Limits of the servers of a group.
 *
 * @param name name of the group
 * @param maxConnections maximum number of connections that a server accepts, summed over all
 *     callers
 * @param syncReplicas number of replicas that must receive a commit before it is acknowledged
 */
public record GroupLimits(String name, int maxConnections, int syncReplicas) {}
