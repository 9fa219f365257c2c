package org.ragwortmoor.state.routes;

/**
 * Limits of the servers of a group.
 *
 * @param name name of the group
 * @param maxConnections connections that a server accepts from all callers together
 * @param syncReplicas replicas that receive a commit before it is acknowledged
 */
public record GroupLimits(String name, int maxConnections, int syncReplicas) {}
