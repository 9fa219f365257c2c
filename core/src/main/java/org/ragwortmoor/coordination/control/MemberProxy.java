package org.ragwortmoor.coordination.control;

/**
 * A proxy that shares the endpoints and whose preparation of wider scopes is waited for.
 *
 * @param proxy identifier of the proxy
 * @param failureDomain failure domain in which it runs
 * @param floorNumber lowest number that no other member had when it joined; an endpoint with fewer
 *     floors than this number plus one has no floor for the member
 * @param floorGranted whether the member may use its floors
 */
public record MemberProxy(
        String proxy, String failureDomain, int floorNumber, boolean floorGranted) {}
