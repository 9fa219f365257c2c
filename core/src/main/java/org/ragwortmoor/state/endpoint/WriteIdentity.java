package org.ragwortmoor.state.endpoint;

/**
 * Identifies a write across retries, proxies and failovers.
 *
 * @param key idempotency key, unique per logical write
 * @param attempt execution attempt, starting at 1; a cancellation mark covers all attempts up to
 *     its own
 */
public record WriteIdentity(String key, int attempt) {
    /** Cancelling this attempt cancels the key for good: no later attempt exists. */
    public static final int LAST_ATTEMPT = Integer.MAX_VALUE;

    /** Returns the identity whose cancellation covers every attempt of {@code key}. */
    public static WriteIdentity everyAttempt(String key) {
        return new WriteIdentity(key, LAST_ATTEMPT);
    }
}
