package org.ragwortmoor.state.directory;

/**
 * An ordered promotion.
 *
 * @param group name of the group
 * @param server server that becomes the primary; empty once that server has restarted without data
 * @param holder control process that carries out the promotion
 * @param token fencing token: the log index of the order, which increases with every order
 * @param confirmed whether the platform has confirmed the promotion
 */
public record Promotion(String group, String server, String holder, long token, boolean confirmed) {
    Promotion confirm() {
        return new Promotion(group, server, holder, token, true);
    }

    Promotion withoutServer() {
        return new Promotion(group, "", holder, token, confirmed);
    }
}
