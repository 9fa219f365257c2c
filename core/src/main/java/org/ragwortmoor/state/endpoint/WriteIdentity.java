package org.ragwortmoor.state.endpoint;

/**
 * Identifies a write across retries, proxies and failovers.
 *
 * @param key idempotency key, unique per logical write
 * @param attempt execution attempt, starting at 1; cancelling an attempt also cancels all earlier
 *     ones
 */
public record WriteIdentity(String key, int attempt) {
    /** The highest possible attempt; cancelling it cancels the key permanently. */
    public static final int LAST_ATTEMPT = Integer.MAX_VALUE;

    /** Returns the identity whose cancellation cancels every attempt of {@code key}. */
    public static WriteIdentity everyAttempt(String key) {
        return new WriteIdentity(key, LAST_ATTEMPT);
    }
}
