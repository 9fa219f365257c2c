package org.ragwortmoor.coordination.session;

/**
 * Identity of a proxy.
 *
 * @param name name, unique among the proxies
 * @param failureDomain failure domain in which the proxy runs
 */
public record ProxyIdentity(String name, String failureDomain) {}
