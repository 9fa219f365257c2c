package org.ragwortmoor.load;

import io.vavr.control.Either;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.ragwortmoor.settings.Address;
import org.ragwortmoor.settings.Role;
import org.ragwortmoor.settings.Setting;
import org.ragwortmoor.settings.SettingValues;
import org.ragwortmoor.settings.SettingsProblem;
import org.ragwortmoor.settings.SettingsReader;
import org.ragwortmoor.settings.ValueType;
import org.ragwortmoor.settings.ValueTypes;

/**
 * Settings of a run of the load tool.
 *
 * @param target where the load goes
 * @param workload what the load consists of
 * @param faults faults during the load
 * @param output folder of the result files
 */
public record LoadSettings(Target target, Workload workload, List<FaultPlan> faults, Path output) {
    private static final ValueType<Long> PERCENT = ValueTypes.number(0, 100);
    private static final ValueType<Long> MILLIS = ValueTypes.number(0, 3_600_000);
    private static final ValueType<Long> MICROS = ValueTypes.number(0, 60_000_000);
    private static final ValueType<Long> RATE = ValueTypes.number(1, 100_000);

    private static final Setting<Deployment> DEPLOYMENT =
            Setting.of(
                    "deployment",
                    LoadTypes.DEPLOYMENT,
                    "",
                    "none",
                    "Starts this deployment in the process of the load tool.");
    private static final Setting<List<Address>> PROXIES =
            Setting.of(
                    "proxy-addresses",
                    LoadTypes.ADDRESSES,
                    "",
                    LoadTypes.NONE,
                    "HTTP addresses of proxies that run elsewhere.");
    private static final Setting<List<String>> GROUPS =
            Setting.of(
                    "groups",
                    LoadTypes.NAMES,
                    "",
                    LoadTypes.NONE,
                    "Groups that the sessions use; none stands for all of the deployment.");
    private static final Setting<Long> PROXY_COUNT =
            Setting.of(
                    "embedded-proxies",
                    ValueTypes.number(1, 100),
                    "proxies",
                    "7",
                    "Proxies of an embedded deployment; 7 at both organisations.");
    private static final Setting<Boolean> REPLICA_READS =
            Setting.of(
                    "replica-reads",
                    LoadTypes.SWITCH,
                    "",
                    "on",
                    "Off is the baseline in which the primary serves all reads.");
    private static final Setting<Boolean> CLASSES =
            Setting.of(
                    "classes",
                    LoadTypes.SWITCH,
                    "",
                    "on",
                    "Off is the baseline of one queue with a fixed limit.");
    private static final Setting<Path> OUTPUT =
            Setting.of(
                    "output-folder",
                    ValueTypes.PATH,
                    "",
                    "load-results",
                    "Result files and the history are written here.");
    private static final Setting<List<FaultPlan>> FAULTS =
            Setting.of(
                    "faults",
                    LoadTypes.FAULTS,
                    "",
                    LoadTypes.NONE,
                    "Faults of an embedded deployment during the load.");
    private static final Setting<Long> SEED =
            number("seed", 0, Long.MAX_VALUE / 10, "", "1", "Equal seeds give equal requests.");
    private static final Setting<Long> DURATION =
            Setting.of("duration", MILLIS, "ms", "10000", "Length of the load.");
    private static final Setting<Long> SESSIONS =
            number("sessions", 1, 100_000, "sessions", "200", "Sessions opened before the load.");
    private static final Setting<Long> KEYS =
            number("keys", 1, 1_000_000, "keys", "200", "Fewer keys give more conflicts.");
    private static final Setting<Long> BASE_RATE =
            Setting.of("base-rate", RATE, "requests/s", "100", "Rate outside the crest.");
    private static final Setting<Long> CREST_RATE =
            Setting.of("crest-rate", RATE, "requests/s", "100", "Rate at the crest.");
    private static final Setting<Long> CREST_START =
            Setting.of("crest-start", MILLIS, "ms", "0", "Start of the rising flank.");
    private static final Setting<Long> CREST_LENGTH =
            Setting.of("crest-length", MILLIS, "ms", "0", "Length of the crest; 0 for none.");
    private static final Setting<Long> CREST_FLANK =
            Setting.of("crest-flank", MILLIS, "ms", "0", "Length of each flank of the crest.");
    private static final Setting<Long> READS = percent("read-percent", "80", "of requests");
    private static final Setting<Long> TRANSACTIONS =
            percent("transaction-percent", "5", "of requests; the rest are writes");
    private static final Setting<Long> INCREMENTS =
            percent("increment-percent", "30", "of writes, not repeatable");
    private static final Setting<Long> STRONG = percent("strong-percent", "10", "of reads");
    private static final Setting<Long> AGED = percent("age-percent", "30", "of reads");
    private static final Setting<Long> MAX_AGE =
            Setting.of("max-age", MILLIS, "ms", "2000", "Accepted age of reads with an age.");
    private static final Setting<Long> SHORT_MICROS =
            Setting.of("short-micros", MICROS, "us", "2000", "Length of a short statement.");
    private static final Setting<Long> LONGS = percent("long-percent", "0", "of reads, long work");
    private static final Setting<Long> LONG_MICROS =
            Setting.of("long-micros", MICROS, "us", "200000", "Length of a long statement.");
    private static final Setting<Long> DEADLINE =
            number("deadline", 1, 60_000, "ms", "5000", "Time within which callers need answers.");

    /** The role of the load tool. */
    public static final Role<LoadSettings> ROLE =
            new Role<>(
                    "load",
                    "Sends a workload, writes results and checks the history.",
                    List.of(
                            DEPLOYMENT,
                            PROXIES,
                            GROUPS,
                            PROXY_COUNT,
                            REPLICA_READS,
                            CLASSES,
                            OUTPUT,
                            FAULTS,
                            SEED,
                            DURATION,
                            SESSIONS,
                            KEYS,
                            BASE_RATE,
                            CREST_RATE,
                            CREST_START,
                            CREST_LENGTH,
                            CREST_FLANK,
                            READS,
                            TRANSACTIONS,
                            INCREMENTS,
                            STRONG,
                            AGED,
                            MAX_AGE,
                            SHORT_MICROS,
                            LONGS,
                            LONG_MICROS,
                            DEADLINE),
                    LoadSettings::of,
                    LoadSettings::conflicts);

    /**
     * Where the load goes.
     *
     * @param deployment embedded deployment
     * @param proxies addresses of proxies that run elsewhere
     * @param groups groups; empty for all of the embedded deployment
     * @param proxyCount proxies of the embedded deployment
     * @param replicaReads whether replicas serve reads
     * @param classes whether work is ordered by class
     */
    public record Target(
            Deployment deployment,
            List<Address> proxies,
            List<String> groups,
            int proxyCount,
            boolean replicaReads,
            boolean classes) {
        /** Copies the lists. */
        public Target {
            proxies = List.copyOf(proxies);
            groups = List.copyOf(groups);
        }
    }

    /** Copies the list. */
    public LoadSettings {
        faults = List.copyOf(faults);
    }

    /**
     * Returns settings from {@code --name=value} flags alone.
     *
     * @throws IllegalArgumentException if a setting is wrong
     */
    static LoadSettings parse(String... flags) {
        Either<List<SettingsProblem>, LoadSettings> settings =
                new SettingsReader(Map.of()).read(ROLE, List.of(flags));
        return settings.getOrElseThrow(
                problems -> new IllegalArgumentException(problems.toString()));
    }

    private static Setting<Long> number(
            String name, long min, long max, String unit, String standard, String reason) {
        return Setting.of(name, ValueTypes.number(min, max), unit, standard, reason);
    }

    private static Setting<Long> percent(String name, String standard, String of) {
        return Setting.of(name, PERCENT, "%", standard, "Share " + of + ".");
    }

    private static LoadSettings of(SettingValues values) {
        Workload workload =
                new Workload(
                        values.value(SEED),
                        "k" + values.value(SEED),
                        values.value(DURATION),
                        new Demand(
                                values.value(BASE_RATE),
                                values.value(CREST_RATE),
                                values.value(CREST_START),
                                values.value(CREST_LENGTH),
                                values.value(CREST_FLANK)),
                        values.number(SESSIONS),
                        values.number(KEYS),
                        new Workload.Mix(
                                values.number(READS),
                                values.number(TRANSACTIONS),
                                values.number(INCREMENTS),
                                values.number(STRONG),
                                values.number(AGED),
                                values.number(LONGS)),
                        values.value(MAX_AGE),
                        values.value(SHORT_MICROS),
                        values.value(LONG_MICROS),
                        values.value(DEADLINE));
        return new LoadSettings(
                new Target(
                        values.value(DEPLOYMENT),
                        values.value(PROXIES),
                        values.value(GROUPS),
                        values.number(PROXY_COUNT),
                        values.value(REPLICA_READS),
                        values.value(CLASSES)),
                workload,
                values.value(FAULTS),
                values.value(OUTPUT));
    }

    private List<SettingsProblem> conflicts() {
        List<SettingsProblem> problems = new ArrayList<>();
        boolean embedded = target.deployment() != Deployment.NONE;
        if (embedded == !target.proxies().isEmpty()) {
            problems.add(
                    new SettingsProblem(
                            PROXIES.flag(),
                            embedded ? "a deployment is given too" : "there is no target",
                            "give either " + DEPLOYMENT.flag() + " or " + PROXIES.flag()));
        }
        if (!embedded && target.groups().isEmpty()) {
            problems.add(
                    new SettingsProblem(
                            GROUPS.flag(), "the groups are not known", "name the groups to use"));
        }
        if (!embedded && !faults.isEmpty()) {
            problems.add(
                    new SettingsProblem(
                            FAULTS.flag(),
                            "faults are switched in embedded deployments only",
                            "give " + DEPLOYMENT.flag()));
        }
        sum(problems, READS, TRANSACTIONS, workload.mix().reads() + workload.mix().transactions());
        sum(problems, STRONG, AGED, workload.mix().strong() + workload.mix().aged());
        if (workload.demand().endMillis() > workload.durationMillis()) {
            problems.add(
                    new SettingsProblem(
                            CREST_LENGTH.flag(),
                            "the crest ends after the load, at "
                                    + workload.demand().endMillis()
                                    + " ms",
                            "raise " + DURATION.flag() + " or shorten the crest"));
        }
        if (workload.mix().aged() > 0 && workload.maxAgeMillis() == 0) {
            problems.add(
                    new SettingsProblem(
                            MAX_AGE.flag(), "reads with an age need an age", "give at least 1 ms"));
        }
        for (FaultPlan fault : faults) {
            if (fault.atMillis() >= workload.durationMillis()) {
                problems.add(
                        new SettingsProblem(
                                FAULTS.flag(),
                                "the fault at " + fault.atMillis() + " ms is after the load",
                                "raise " + DURATION.flag() + " or move the fault"));
            }
        }
        return problems;
    }

    private static void sum(
            List<SettingsProblem> problems, Setting<?> one, Setting<?> other, int sum) {
        if (sum > 100) {
            problems.add(
                    new SettingsProblem(
                            one.flag(),
                            "together with " + other.flag() + " it is " + sum + "%",
                            "lower one of them to a sum of at most 100"));
        }
    }
}
