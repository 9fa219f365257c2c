package org.ragwortmoor.settings;

import java.nio.file.Path;
import java.util.List;

/** Settings that several roles have. */
final class CommonSettings {
    static final Setting<String> FAILURE_DOMAIN =
            Setting.required(
                    "failure-domain",
                    ValueTypes.NAME,
                    "Failure detection needs evidence from different failure domains.");
    static final Setting<List<NodeAddress>> CONTROL_ADDRESSES =
            Setting.required(
                    "control-addresses",
                    ValueTypes.NODES,
                    "Peer addresses of all control processes; each gets every report, so that a"
                            + " new leader knows the state at once.");
    static final Setting<Long> WORKERS =
            Setting.of(
                    "workers",
                    ValueTypes.number(1, 256),
                    "threads",
                    "4",
                    "Threads that process events; about one per core.");
    static final Setting<Path> DATA_FOLDER =
            Setting.required(
                    "data-folder",
                    ValueTypes.PATH,
                    "All files of the process; one process per folder, on a disk that syncs.");

    private CommonSettings() {}
}
