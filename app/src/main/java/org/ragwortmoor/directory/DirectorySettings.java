package org.ragwortmoor.directory;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.ragwortmoor.coordination.quota.QuotaSettings;
import org.ragwortmoor.settings.Address;
import org.ragwortmoor.settings.Role;
import org.ragwortmoor.settings.Setting;
import org.ragwortmoor.settings.SettingValues;
import org.ragwortmoor.settings.ValueType;
import org.ragwortmoor.settings.ValueTypes;

/**
 * Settings of a directory process.
 *
 * @param failureDomain failure domain in which the process runs
 * @param controlAddress address for servers and operators; also identifies the process
 * @param peerPort port for other processes; the same on all VMs
 * @param seeds control addresses of some directory processes
 * @param bootstrap whether the seeds form a new group
 * @param dataFolder folder for durable state
 * @param promotionAddress address of the interface that promotes servers; empty to disable
 *     promotions
 * @param platformFencing whether the platform deposes a replaced primary and checks fencing tokens
 * @param primaryLeaseMillis duration of a proxy's lease on a primary, where the platform does not
 *     fence
 * @param quotas limits on the operations of workspaces
 * @param metricsAddress address that serves metrics and the state dump; empty to disable it
 * @param controlLimits limits on connections of servers and operators
 * @param connections limits on other connections
 */
public record DirectorySettings(
        String failureDomain,
        Address controlAddress,
        int peerPort,
        List<String> seeds,
        boolean bootstrap,
        Path dataFolder,
        String promotionAddress,
        boolean platformFencing,
        long primaryLeaseMillis,
        QuotaSettings quotas,
        String metricsAddress,
        ControlLimits controlLimits,
        ConnectionLimits connections) {
    /** Addresses separated by commas; may be empty. */
    static final ValueType<List<String>> SEEDS =
            new ValueType<>("IP:PORT,..., or nothing", DirectorySettings::parseAddresses);

    /** {@code true}; any other text is false. */
    static final ValueType<Boolean> FLAG =
            new ValueType<>("true or false", text -> Either.right(text.equals("true")));

    /** {@code true} or {@code false}; any other text is refused. */
    static final ValueType<Boolean> SWITCH =
            new ValueType<>("true or false", DirectorySettings::parseSwitch);

    /** Any text, including an empty one. */
    static final ValueType<String> TEXT = new ValueType<>("a text", Either::right);

    /** Failure domain of the process. */
    static final Setting<String> DOMAIN =
            Setting.required(
                    "failure-domain", ValueTypes.NAME, "Work stays in the domain where it can.");

    /** Port for other processes. */
    static final Setting<Long> PEER_PORT =
            Setting.required(
                    "peer-port",
                    ValueTypes.number(1, 65_535),
                    "Other processes connect here; the same on all machines.");

    /** Control addresses of some directory processes. */
    static final Setting<List<String>> SEED_ADDRESSES =
            Setting.required(
                    "seeds", SEEDS, "The first processes to ask for the others and the leader.");

    private static final Setting<Address> CONTROL =
            Setting.required(
                    "control-address",
                    ValueTypes.ADDRESS,
                    "Servers and operators call here; it identifies the process.");
    private static final Setting<Boolean> BOOTSTRAP =
            Setting.of(
                    "bootstrap",
                    FLAG,
                    "",
                    "false",
                    "The seeds form a new group; only for the first start with empty folders.");
    private static final Setting<Path> DATA =
            Setting.required("data-folder", ValueTypes.PATH, "The durable state lives here.");
    private static final Setting<String> PROMOTION =
            Setting.of(
                    "promotion-address",
                    TEXT,
                    "",
                    "",
                    "Promotions of servers are ordered here; without it none are.");

    private static final Setting<Boolean> FENCING =
            Setting.of(
                    "platform-fencing",
                    SWITCH,
                    "",
                    "false",
                    "Whether the platform deposes a replaced primary and checks fencing tokens; if"
                            + " not, proxies need leases on primaries.");
    private static final Setting<Long> PRIMARY_LEASE =
            Setting.of(
                    "primary-lease",
                    ValueTypes.number(500, 30_000),
                    "ms",
                    "3000",
                    "A promotion waits this long for proxies that cannot be reached; without"
                            + " control, writes stop after it.");

    /** Window of the quotas of workspaces. */
    static final Setting<Double> QUOTA_WINDOW =
            Setting.of(
                    "quota-window",
                    ValueTypes.decimal(0, 600),
                    "s",
                    "0",
                    "Operations of a workspace are limited in every window of this length; 0: no"
                            + " limits. The same at proxies and directory processes.");

    private static final Setting<Double> QUOTA_EXCESS =
            Setting.of(
                    "quota-excess",
                    ValueTypes.decimal(0, 10),
                    "fraction",
                    "0",
                    "A window may exceed the limit of a workspace by this fraction.");
    private static final Setting<Double> QUOTA_SLACK =
            Setting.of(
                    "quota-slack",
                    ValueTypes.decimal(0, 1_000_000),
                    "operations",
                    "0",
                    "A window may exceed the limit of a workspace by this number in addition.");

    /** Address that serves metrics and the state dump. */
    static final Setting<String> METRICS =
            Setting.of(
                    "metrics-address",
                    TEXT,
                    "",
                    "",
                    "Metrics and the state dump are read here; without it nowhere.");

    /** The role of directory processes. */
    public static final Role<DirectorySettings> ROLE =
            new Role<>(
                    "directory",
                    "Runs a directory process: routes, servers, promotions.",
                    allSettings(),
                    DirectorySettings::of,
                    settings -> List.of());

    /** Makes a defensive copy of the seeds. */
    public DirectorySettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Returns the settings that identify the process, for its log. {@code toString} of a record is
     * avoided because its first call delays the start.
     */
    String summary() {
        return String.join(
                " ",
                "domain=" + failureDomain,
                "control=" + controlAddress,
                "seeds=" + seeds,
                "bootstrap=" + bootstrap,
                "folder=" + dataFolder);
    }

    private static List<Setting<?>> allSettings() {
        List<Setting<?>> all =
                new ArrayList<>(
                        List.of(
                                DOMAIN,
                                CONTROL,
                                PEER_PORT,
                                SEED_ADDRESSES,
                                BOOTSTRAP,
                                DATA,
                                PROMOTION,
                                FENCING,
                                PRIMARY_LEASE,
                                QUOTA_WINDOW,
                                QUOTA_EXCESS,
                                QUOTA_SLACK,
                                METRICS));
        all.addAll(ControlLimits.settings());
        all.addAll(ConnectionLimits.settings());
        return List.copyOf(all);
    }

    private static DirectorySettings of(SettingValues values) {
        return new DirectorySettings(
                values.value(DOMAIN),
                values.value(CONTROL),
                values.number(PEER_PORT),
                values.value(SEED_ADDRESSES),
                values.value(BOOTSTRAP),
                values.value(DATA),
                values.value(PROMOTION),
                values.value(FENCING),
                values.value(PRIMARY_LEASE),
                new QuotaSettings(
                        values.value(QUOTA_WINDOW),
                        values.value(QUOTA_EXCESS),
                        values.value(QUOTA_SLACK)),
                values.value(METRICS),
                ControlLimits.of(values),
                ConnectionLimits.of(values));
    }

    private static Either<String, Boolean> parseSwitch(String text) {
        return switch (text) {
            case "true" -> Either.right(true);
            case "false" -> Either.right(false);
            default -> Either.left("'" + text + "' is neither true nor false");
        };
    }

    private static Either<String, List<String>> parseAddresses(String text) {
        List<String> addresses = new ArrayList<>();
        for (String part : Arrays.asList(text.split(",", -1))) {
            if (part.isBlank()) {
                continue;
            }
            Either<String, Address> address = Address.parse(part.strip());
            if (address.isLeft()) {
                return Either.left(address.getLeft());
            }
            addresses.add(part.strip());
        }
        return Either.right(List.copyOf(addresses));
    }
}
