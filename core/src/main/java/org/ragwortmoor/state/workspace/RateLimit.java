package org.ragwortmoor.state.workspace;

/**
 * Limit on the operations of a workspace, summed over all proxies.
 *
 * @param ratePerSecond operations per second
 * @param burst operations that a window may contain beyond the rate
 */
public record RateLimit(int ratePerSecond, int burst) {}
