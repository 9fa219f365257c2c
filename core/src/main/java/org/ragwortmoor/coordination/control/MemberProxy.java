package org.ragwortmoor.coordination.control;

/**
 * A member proxy: it gets shares of the endpoints, and wider rule scopes take effect only after it
 * prepared them.
 *
 * @param proxy identifier of the proxy
 * @param failureDomain failure domain in which it runs
 * @param floorNumber lowest number that was free when the proxy joined; the member has a floor at
 *     an endpoint only if the endpoint has more floors than this number
 * @param floorGranted whether the member may use its floors
 */
public record MemberProxy(
        String proxy, String failureDomain, int floorNumber, boolean floorGranted) {}
