package org.ragwortmoor.state;

/**
 * An endpoint as it announced itself.
 *
 * @param endpoint identifier, unique within the group
 * @param incarnation random number that changes when the endpoint lost its data
 * @param address IP number and port, for example {@code 127.0.0.1:7301}
 * @param failureDomain failure domain in which it runs
 * @param slots statements that it executes at a time
 * @param connectionLimit connections that it accepts from all proxies together
 * @param leaving whether it announced that it is leaving
 */
public record EndpointInfo(
        String endpoint,
        long incarnation,
        String address,
        String failureDomain,
        int slots,
        int connectionLimit,
        boolean leaving) {}
