package org.ragwortmoor.state.log;

/**
 * A member of the replicated configuration.
 *
 * @param id node id and pinned incarnation
 * @param address address of the node, an IP number and a port
 * @param voter whether the member counts for majorities; a learner only receives entries
 */
public record Member(MemberId id, String address, boolean voter) {}
