package org.ragwortmoor.state;

/**
 * The properties that an endpoint announced about itself.
 *
 * @param endpoint identifier, unique within the group
 * @param incarnation random number that changes when the endpoint loses its data
 * @param address IP address and port, for example {@code 127.0.0.1:7301}
 * @param failureDomain failure domain in which the endpoint runs
 * @param slots number of statements that it executes concurrently
 * @param connectionLimit maximum number of connections that it accepts, summed over all proxies
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
