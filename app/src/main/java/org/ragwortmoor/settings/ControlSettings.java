package org.ragwortmoor.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Settings of a control process.
 *
 * @param nodeId identifier of the process, unique among the control processes
 * @param failureDomain failure domain in which it runs
 * @param peerAddress address for control processes, proxies and endpoints
 * @param httpAddress address of the API for operators
 * @param members peer addresses of the control processes of the group, this one included
 * @param dataFolder folder of the control log
 * @param workers threads that process events
 * @param electionTimeoutMillis shortest time without a leader before an election, in milliseconds
 * @param heartbeatMillis time between the leader's messages to an idle member, in milliseconds
 * @param snapshotEntries log entries between two snapshots
 */
public record ControlSettings(
        String nodeId,
        String failureDomain,
        Address peerAddress,
        Address httpAddress,
        List<NodeAddress> members,
        Path dataFolder,
        int workers,
        long electionTimeoutMillis,
        long heartbeatMillis,
        int snapshotEntries) {
    private static final Setting<String> NODE_ID =
            Setting.required(
                    "node-id", ValueTypes.NAME, "Identifies the process among the members.");
    private static final Setting<Address> PEER_ADDRESS =
            Setting.required(
                    "peer-address",
                    ValueTypes.ADDRESS,
                    "Control processes, proxies and endpoints connect here.");
    private static final Setting<Address> HTTP_ADDRESS =
            Setting.required(
                    "http-address", ValueTypes.ADDRESS, "The API for operators listens here.");
    private static final Setting<List<NodeAddress>> MEMBERS =
            Setting.required(
                    "members",
                    ValueTypes.NODES,
                    "Peer addresses of all 3 or 5 control processes, this one included.");
    private static final Setting<Long> ELECTION_TIMEOUT =
            Setting.of(
                    "election-timeout",
                    ValueTypes.number(100, 30_000),
                    "ms",
                    "500",
                    "Time without a leader before an election; a new leader stands within about"
                            + " 1 s.");
    private static final Setting<Long> HEARTBEAT =
            Setting.of(
                    "heartbeat",
                    ValueTypes.number(10, 10_000),
                    "ms",
                    "100",
                    "Several heartbeats fit into an election timeout, so that a lost one causes no"
                            + " election.");
    private static final Setting<Long> SNAPSHOT_ENTRIES =
            Setting.of(
                    "snapshot-entries",
                    ValueTypes.number(100, 10_000_000),
                    "entries",
                    "10000",
                    "Bounds the log and with it the time of a restart.");

    /** The role of control processes. */
    public static final Role<ControlSettings> ROLE =
            new Role<>(
                    "control",
                    "Runs a control process.",
                    List.of(
                            NODE_ID,
                            CommonSettings.FAILURE_DOMAIN,
                            PEER_ADDRESS,
                            HTTP_ADDRESS,
                            MEMBERS,
                            CommonSettings.DATA_FOLDER,
                            CommonSettings.WORKERS,
                            ELECTION_TIMEOUT,
                            HEARTBEAT,
                            SNAPSHOT_ENTRIES),
                    ControlSettings::of,
                    ControlSettings::conflicts);

    /** Copies the list. */
    public ControlSettings {
        members = List.copyOf(members);
    }

    private static ControlSettings of(SettingValues values) {
        return new ControlSettings(
                values.value(NODE_ID),
                values.value(CommonSettings.FAILURE_DOMAIN),
                values.value(PEER_ADDRESS),
                values.value(HTTP_ADDRESS),
                values.value(MEMBERS),
                values.value(CommonSettings.DATA_FOLDER),
                values.number(CommonSettings.WORKERS),
                values.value(ELECTION_TIMEOUT),
                values.value(HEARTBEAT),
                values.number(SNAPSHOT_ENTRIES));
    }

    private List<SettingsProblem> conflicts() {
        List<SettingsProblem> problems = new ArrayList<>();
        if (members.size() != 3 && members.size() != 5) {
            problems.add(
                    new SettingsProblem(
                            MEMBERS.flag(),
                            members.size() + " members are given",
                            "give 3 or 5; an even number tolerates no further failure"));
        }
        if (members.stream().noneMatch(m -> m.equals(new NodeAddress(nodeId, peerAddress)))) {
            problems.add(
                    new SettingsProblem(
                            MEMBERS.flag(),
                            nodeId + "@" + peerAddress + " is not among the members",
                            "add it, or correct node-id or peer-address"));
        }
        if (heartbeatMillis * 2 > electionTimeoutMillis) {
            problems.add(
                    new SettingsProblem(
                            HEARTBEAT.flag(),
                            "it is more than half of " + ELECTION_TIMEOUT.flag(),
                            "lower it to at most " + electionTimeoutMillis / 2 + " ms"));
        }
        return problems;
    }
}
