package org.ragwortmoor.state.log;

/**
 * A member of the replicated configuration.
 *
 * @param id node id and the incarnation under which the node joined
 * @param address IP address and port of the node
 * @param voter whether the member counts towards majorities; a learner only receives entries
 */
public record Member(MemberId id, String address, boolean voter) {}
