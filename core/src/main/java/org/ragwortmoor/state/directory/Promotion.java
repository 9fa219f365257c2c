package org.ragwortmoor.state.directory;

/**
 * An ordered promotion.
 *
 * @param group name of the group
 * @param server server that becomes the primary
 * @param holder control process that carries out the promotion
 * @param token fencing token: the log index of the order, which increases with every order
 */
public record Promotion(String group, String server, String holder, long token) {}
