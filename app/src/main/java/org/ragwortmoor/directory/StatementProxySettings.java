package org.ragwortmoor.directory;

import java.util.ArrayList;
import java.util.List;
import org.ragwortmoor.settings.Address;
import org.ragwortmoor.settings.Role;
import org.ragwortmoor.settings.Setting;
import org.ragwortmoor.settings.SettingValues;
import org.ragwortmoor.settings.ValueTypes;

/**
 * Settings of a statement proxy.
 *
 * @param name name of the proxy, unique among the proxies
 * @param failureDomain failure domain in which the proxy runs
 * @param statementAddress address for clients of the statement protocol
 * @param readinessAddress address for the readiness probe of the load balancer
 * @param peerPort port for other processes; the same on all VMs
 * @param seeds control addresses of some directory processes
 * @param stopMillis time from the start of a planned stop until the process is killed
 * @param keyRevocationMillis time within which a removed key must be refused; 0 if it is not
 *     limited
 * @param quotaWindowSeconds window of the quotas of workspaces; 0 if there are none
 * @param metricsAddress address that serves metrics and the state dump; empty to disable it
 * @param callers limits on callers
 * @param connections limits on other connections
 */
public record StatementProxySettings(
        String name,
        String failureDomain,
        Address statementAddress,
        Address readinessAddress,
        int peerPort,
        List<String> seeds,
        long stopMillis,
        long keyRevocationMillis,
        double quotaWindowSeconds,
        String metricsAddress,
        CallerLimitSettings callers,
        ConnectionLimits connections) {
    private static final Setting<String> NAME =
            Setting.required("name", ValueTypes.NAME, "Identifies the proxy in reports.");
    private static final Setting<Address> STATEMENTS =
            Setting.required(
                    "statement-address", ValueTypes.ADDRESS, "Callers send statements here.");
    private static final Setting<Address> READINESS =
            Setting.required(
                    "readiness-address", ValueTypes.ADDRESS, "The load balancer probes here.");
    private static final Setting<Long> STOP =
            Setting.of(
                    "stop-grace",
                    ValueTypes.number(0, 600),
                    "s",
                    "6",
                    "The platform kills a process that has not ended by then.");

    private static final Setting<Long> KEY_REVOCATION =
            Setting.of(
                    "key-revocation-limit",
                    ValueTypes.number(0, 600_000),
                    "ms",
                    "0",
                    "A removed key is refused within this time also without the directory; 0: no"
                            + " limit.");

    /** The role of statement proxies. */
    public static final Role<StatementProxySettings> ROLE =
            new Role<>(
                    "statement-proxy",
                    "Runs a proxy for the statement protocol.",
                    allSettings(),
                    StatementProxySettings::of,
                    settings -> List.of());

    /** Makes a defensive copy of the seeds. */
    public StatementProxySettings {
        seeds = List.copyOf(seeds);
    }

    /**
     * Returns the settings that identify the process, for its log. {@code toString} of a record is
     * avoided because its first call delays the start.
     */
    String summary() {
        return String.join(
                " ",
                "name=" + name,
                "domain=" + failureDomain,
                "callers=" + statementAddress,
                "probe=" + readinessAddress,
                "seeds=" + seeds);
    }

    private static List<Setting<?>> allSettings() {
        List<Setting<?>> all =
                new ArrayList<>(
                        List.of(
                                NAME,
                                DirectorySettings.DOMAIN,
                                STATEMENTS,
                                READINESS,
                                DirectorySettings.PEER_PORT,
                                DirectorySettings.SEED_ADDRESSES,
                                STOP,
                                KEY_REVOCATION,
                                DirectorySettings.QUOTA_WINDOW,
                                DirectorySettings.METRICS));
        all.addAll(CallerLimitSettings.settings());
        all.addAll(ConnectionLimits.settings());
        return List.copyOf(all);
    }

    private static StatementProxySettings of(SettingValues values) {
        return new StatementProxySettings(
                values.value(NAME),
                values.value(DirectorySettings.DOMAIN),
                values.value(STATEMENTS),
                values.value(READINESS),
                values.number(DirectorySettings.PEER_PORT),
                values.value(DirectorySettings.SEED_ADDRESSES),
                values.value(STOP) * 1_000,
                values.value(KEY_REVOCATION),
                values.value(DirectorySettings.QUOTA_WINDOW),
                values.value(DirectorySettings.METRICS),
                CallerLimitSettings.of(values),
                ConnectionLimits.of(values));
    }
}
