package org.ragwortmoor.state.endpoint;

/**
 * Identifies a write across retries, proxies and failovers.
 *
 * @param key idempotency key, unique per logical write
 * @param attempt execution attempt, starting at 1; a cancellation mark covers all attempts up to
 *     its own
 */
public record WriteIdentity(String key, int attempt) {}
