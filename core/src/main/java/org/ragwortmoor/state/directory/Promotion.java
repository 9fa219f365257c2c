package org.ragwortmoor.state.directory;

/**
 * An ordered promotion.
 *
 * @param group the group
 * @param server the server that takes over
 * @param holder the control process that carries it out
 * @param token fencing token: the log index of the order, so it rises with every order
 */
public record Promotion(String group, String server, String holder, long token) {}
