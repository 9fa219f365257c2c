package org.ragwortmoor.directory;

import java.util.List;
import org.ragwortmoor.settings.Setting;
import org.ragwortmoor.settings.SettingValues;
import org.ragwortmoor.settings.ValueTypes;

/**
 * Limits on connections of servers and operators to a directory process. 0 stands for a limit that
 * is derived from the resources of the process.
 *
 * @param connections maximum number of connections
 * @param bytes maximum number of bytes of their incomplete requests
 */
public record ControlLimits(int connections, long bytes) {
    /** Limits that are all derived. */
    public static final ControlLimits DERIVED = new ControlLimits(0, 0);

    private static final int MAX_CONNECTIONS = 100_000;
    private static final int DESCRIPTOR_SHARE = 2;
    private static final int HEAP_SHARE = 8;

    /** Two configurations of the largest size can be received at once. */
    private static final long MIN_BYTES = 2 * (4 << 20);

    private static final Setting<Long> CONNECTIONS =
            Setting.of(
                    "control-connections",
                    ValueTypes.number(0, MAX_CONNECTIONS),
                    "connections",
                    "0",
                    "Connections of servers and operators; 0 stands for half of the free"
                            + " descriptors. A new one displaces the one without a request for"
                            + " longest.");
    private static final Setting<Long> BYTES =
            Setting.of(
                    "control-bytes",
                    ValueTypes.number(0, 1L << 40),
                    "bytes",
                    "0",
                    "Incomplete requests of servers and operators; 0 stands for an eighth of the"
                            + " heap, at least 8 MiB. Beyond it, the connection that holds most is"
                            + " closed.");

    static List<Setting<?>> settings() {
        return List.of(CONNECTIONS, BYTES);
    }

    static ControlLimits of(SettingValues values) {
        return new ControlLimits(values.number(CONNECTIONS), values.value(BYTES));
    }

    /** Replaces limits of 0 by those that are derived from the resources. */
    ControlLimits derive(ProcessResources resources) {
        return new ControlLimits(
                ConnectionLimits.or(
                        connections, Math.max(1, resources.freeDescriptors() / DESCRIPTOR_SHARE)),
                ConnectionLimits.or(
                        bytes, Math.max(MIN_BYTES, resources.heapBytes() / HEAP_SHARE)));
    }
}
