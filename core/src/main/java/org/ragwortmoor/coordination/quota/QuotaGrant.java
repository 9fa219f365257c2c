package org.ragwortmoor.coordination.quota;

/**
 * Tokens that the leader grants to a proxy.
 *
 * @param grantedTotal sum of all grants of the epoch to the proxy
 * @param retryAfterMillis time after which tokens are expected for operations that wait; 0 if all
 *     of them are covered
 */
public record QuotaGrant(String workspace, long grantedTotal, int retryAfterMillis) {}
