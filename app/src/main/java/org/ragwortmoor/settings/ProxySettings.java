package org.ragwortmoor.settings;

import java.util.List;

/**
 * Settings of a proxy.
 *
 * @param name name of the proxy, unique among the proxies
 * @param failureDomain failure domain in which it runs
 * @param httpAddress address of the API for callers and operators
 * @param controlAddresses peer addresses of the control processes
 * @param workers threads that process events
 * @param sessionLifetimeMillis time after which a session token expires, in milliseconds
 * @param maxRequestBytes largest request body, in bytes
 * @param defaultDeadlineMillis time within which a request without a deadline is answered, in
 *     milliseconds
 * @param maxDeadlineMillis longest deadline that a request may state, in milliseconds
 * @param transactionLifetimeMillis time after which an open transaction is rolled back, in
 *     milliseconds
 * @param stopTimeoutMillis longest wait for requests in flight at a planned stop, in milliseconds
 */
public record ProxySettings(
        String name,
        String failureDomain,
        Address httpAddress,
        List<NodeAddress> controlAddresses,
        int workers,
        long sessionLifetimeMillis,
        int maxRequestBytes,
        long defaultDeadlineMillis,
        long maxDeadlineMillis,
        long transactionLifetimeMillis,
        long stopTimeoutMillis) {
    private static final Setting<String> NAME =
            Setting.required(
                    "name", ValueTypes.NAME, "Identifies the proxy in reports and shares.");
    private static final Setting<Address> HTTP_ADDRESS =
            Setting.required(
                    "http-address",
                    ValueTypes.ADDRESS,
                    "The API for callers, operators and the load balancer listens here.");
    private static final Setting<Long> SESSION_LIFETIME =
            Setting.of(
                    "session-lifetime",
                    ValueTypes.number(1_000, 86_400_000),
                    "ms",
                    "3600000",
                    "Bounds how long a copied token is of use; each answer renews the token.");
    private static final Setting<Long> MAX_REQUEST_BYTES =
            Setting.of(
                    "max-request-bytes",
                    ValueTypes.number(1_024, 16_777_216),
                    "bytes",
                    "1048576",
                    "Bounds the memory that one request can take.");
    private static final Setting<Long> DEFAULT_DEADLINE =
            Setting.of(
                    "default-deadline",
                    ValueTypes.number(10, 600_000),
                    "ms",
                    "5000",
                    "Requests without a deadline of their own; longer than a failover.");
    private static final Setting<Long> MAX_DEADLINE =
            Setting.of(
                    "max-deadline",
                    ValueTypes.number(10, 600_000),
                    "ms",
                    "60000",
                    "Bounds how long a request can occupy its queue.");
    private static final Setting<Long> TRANSACTION_LIFETIME =
            Setting.of(
                    "transaction-lifetime",
                    ValueTypes.number(10, 600_000),
                    "ms",
                    "30000",
                    "An open transaction owns a connection; it is rolled back after this time.");
    private static final Setting<Long> STOP_TIMEOUT =
            Setting.of(
                    "stop-timeout",
                    ValueTypes.number(0, 600_000),
                    "ms",
                    "60000",
                    "A planned stop waits for requests in flight, up to the longest deadline.");

    /** The role of proxies. */
    public static final Role<ProxySettings> ROLE =
            new Role<>(
                    "proxy",
                    "Runs a proxy in front of the database groups.",
                    List.of(
                            NAME,
                            CommonSettings.FAILURE_DOMAIN,
                            HTTP_ADDRESS,
                            CommonSettings.CONTROL_ADDRESSES,
                            CommonSettings.WORKERS,
                            SESSION_LIFETIME,
                            MAX_REQUEST_BYTES,
                            DEFAULT_DEADLINE,
                            MAX_DEADLINE,
                            TRANSACTION_LIFETIME,
                            STOP_TIMEOUT),
                    ProxySettings::of,
                    ProxySettings::conflicts);

    /** Copies the list. */
    public ProxySettings {
        controlAddresses = List.copyOf(controlAddresses);
    }

    private static ProxySettings of(SettingValues values) {
        return new ProxySettings(
                values.value(NAME),
                values.value(CommonSettings.FAILURE_DOMAIN),
                values.value(HTTP_ADDRESS),
                values.value(CommonSettings.CONTROL_ADDRESSES),
                values.number(CommonSettings.WORKERS),
                values.value(SESSION_LIFETIME),
                values.number(MAX_REQUEST_BYTES),
                values.value(DEFAULT_DEADLINE),
                values.value(MAX_DEADLINE),
                values.value(TRANSACTION_LIFETIME),
                values.value(STOP_TIMEOUT));
    }

    private List<SettingsProblem> conflicts() {
        return defaultDeadlineMillis <= maxDeadlineMillis
                ? List.of()
                : List.of(
                        new SettingsProblem(
                                DEFAULT_DEADLINE.flag(),
                                "it is greater than " + MAX_DEADLINE.flag(),
                                "lower it to at most " + maxDeadlineMillis + " ms"));
    }
}
