package org.ragwortmoor.settings;

import java.nio.file.Path;
import java.util.List;

/**
 * Settings of a stand-in endpoint.
 *
 * @param name name of the endpoint, unique within its group
 * @param group group to which it belongs
 * @param groupSize stated number of endpoints of the group
 * @param failureDomain failure domain in which it runs
 * @param address address for proxies, control processes and other endpoints
 * @param controlAddresses peer addresses of the control processes
 * @param slots statements that run at a time
 * @param connectionLimit open connections of proxies
 * @param connectionCostMillis time to open a connection, in milliseconds
 * @param replicationLagMillis delay of replication, in milliseconds
 * @param domainDelayMicros one-way delay to other failure domains, in microseconds
 * @param localDelayMicros one-way delay within the failure domain, in microseconds
 * @param dataFolder folder of the database
 */
public record EndpointSettings(
        String name,
        String group,
        int groupSize,
        String failureDomain,
        Address address,
        List<NodeAddress> controlAddresses,
        int slots,
        int connectionLimit,
        long connectionCostMillis,
        long replicationLagMillis,
        long domainDelayMicros,
        long localDelayMicros,
        Path dataFolder) {
    private static final Setting<String> NAME =
            Setting.required("name", ValueTypes.NAME, "Identifies the endpoint in its group.");
    private static final Setting<String> GROUP =
            Setting.required(
                    "group", ValueTypes.NAME, "The database that the endpoint replicates.");
    private static final Setting<Long> GROUP_SIZE =
            Setting.of(
                    "group-size",
                    ValueTypes.number(1, 9),
                    "endpoints",
                    "3",
                    "Majorities are counted of this number; all endpoints of a group state the"
                            + " same.");
    private static final Setting<Address> ADDRESS =
            Setting.required(
                    "address",
                    ValueTypes.ADDRESS,
                    "Proxies, control processes and the group's other endpoints connect here.");
    private static final Setting<Long> SLOTS =
            Setting.of(
                    "slots",
                    ValueTypes.number(1, 1_000),
                    "statements",
                    "5",
                    "Statements that run at a time; Carritos has 5, Speelrooster 2.");
    private static final Setting<Long> CONNECTION_LIMIT =
            Setting.of(
                    "connection-limit",
                    ValueTypes.number(1, 10_000),
                    "connections",
                    "30",
                    "Connections of all proxies together; 30 at both organisations.");
    private static final Setting<Long> CONNECTION_COST =
            Setting.of(
                    "connection-cost",
                    ValueTypes.number(0, 10_000),
                    "ms",
                    "10",
                    "Time to open a connection; about 10 ms at both organisations.");
    private static final Setting<Long> REPLICATION_LAG =
            Setting.of(
                    "replication-lag",
                    ValueTypes.number(0, 3_600_000),
                    "ms",
                    "0",
                    "Keeps a replica behind its primary, for tests of lag.");
    private static final Setting<Long> DOMAIN_DELAY =
            Setting.of(
                    "domain-delay",
                    ValueTypes.number(0, 10_000_000),
                    "us",
                    "1000",
                    "One-way delay to other failure domains; 1 ms at both organisations.");
    private static final Setting<Long> LOCAL_DELAY =
            Setting.of(
                    "local-delay",
                    ValueTypes.number(0, 10_000_000),
                    "us",
                    "0",
                    "One-way delay within the failure domain; too small to matter.");

    /** The role of stand-in endpoints. */
    public static final Role<EndpointSettings> ROLE =
            new Role<>(
                    "endpoint",
                    "Runs a stand-in database endpoint.",
                    List.of(
                            NAME,
                            GROUP,
                            GROUP_SIZE,
                            CommonSettings.FAILURE_DOMAIN,
                            ADDRESS,
                            CommonSettings.CONTROL_ADDRESSES,
                            SLOTS,
                            CONNECTION_LIMIT,
                            CONNECTION_COST,
                            REPLICATION_LAG,
                            DOMAIN_DELAY,
                            LOCAL_DELAY,
                            CommonSettings.DATA_FOLDER),
                    EndpointSettings::of,
                    settings -> List.of());

    /** Copies the list. */
    public EndpointSettings {
        controlAddresses = List.copyOf(controlAddresses);
    }

    private static EndpointSettings of(SettingValues values) {
        return new EndpointSettings(
                values.value(NAME),
                values.value(GROUP),
                values.number(GROUP_SIZE),
                values.value(CommonSettings.FAILURE_DOMAIN),
                values.value(ADDRESS),
                values.value(CommonSettings.CONTROL_ADDRESSES),
                values.number(SLOTS),
                values.number(CONNECTION_LIMIT),
                values.value(CONNECTION_COST),
                values.value(REPLICATION_LAG),
                values.value(DOMAIN_DELAY),
                values.value(LOCAL_DELAY),
                values.value(CommonSettings.DATA_FOLDER));
    }
}
