package org.ragwortmoor.directory;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.coordination.callers.CallerLimits;
import org.ragwortmoor.settings.Setting;
import org.ragwortmoor.settings.SettingValues;
import org.ragwortmoor.settings.ValueTypes;

/**
 * Limits of a statement proxy on its callers. 0 stands for a limit that is derived from the
 * resources of the process.
 *
 * @param sessionBytes bytes queued and unread by one session from which it is not read
 * @param totalBytes bytes held by all sessions
 * @param sessions maximum number of sessions
 * @param unconnected maximum number of sessions without CONNECT
 * @param descriptorReserve descriptors that are not used for sessions
 * @param connectTimeoutMillis time within which a session must have sent CONNECT
 * @param progressTimeoutMillis time within which a half message or the reading of an answer must
 *     advance
 */
public record CallerLimitSettings(
        long sessionBytes,
        long totalBytes,
        int sessions,
        int unconnected,
        int descriptorReserve,
        long connectTimeoutMillis,
        long progressTimeoutMillis) {
    private static final int MAX_SESSIONS = 1_000_000;
    private static final int HEAP_SHARE = 4;
    private static final int UNCONNECTED_SHARE = 4;

    private static final Setting<Long> SESSION_BYTES =
            Setting.of(
                    "caller-session-bytes",
                    ValueTypes.number(4 << 10, 16 << 20),
                    "bytes",
                    "262144",
                    "Statements without an answer and unread answers of a session, from which it"
                            + " is not read. One statement may be larger.");
    private static final Setting<Long> TOTAL_BYTES =
            Setting.of(
                    "caller-total-bytes",
                    ValueTypes.number(0, 1L << 40),
                    "bytes",
                    "0",
                    "Bytes held by all sessions; 0 stands for a quarter of the heap. Beyond it,"
                            + " sessions that hold more than 4 KiB are not read, and those that"
                            + " hold most in half messages and unread answers are closed.");
    private static final Setting<Long> SESSIONS =
            Setting.of(
                    "caller-sessions",
                    ValueTypes.number(0, MAX_SESSIONS),
                    "sessions",
                    "0",
                    "Sessions in all; 0 stands for the free descriptors without the reserve, which"
                            + " is also the maximum.");
    private static final Setting<Long> UNCONNECTED =
            Setting.of(
                    "caller-sessions-unconnected",
                    ValueTypes.number(0, MAX_SESSIONS),
                    "sessions",
                    "0",
                    "Sessions that have not sent CONNECT; 0 stands for a quarter of all sessions. A"
                            + " new session displaces the oldest of them.");
    private static final Setting<Long> RESERVE =
            Setting.of(
                    "descriptor-reserve",
                    ValueTypes.number(0, MAX_SESSIONS),
                    "descriptors",
                    "0",
                    "Descriptors kept back for servers, directory, proxies, probes and metrics; 0"
                            + " stands for five sixteenths of those that are free at the start.");
    private static final Setting<Long> CONNECT_TIMEOUT =
            Setting.of(
                    "caller-connect-timeout",
                    ValueTypes.number(100, 3_600_000),
                    "ms",
                    "20000",
                    "A session must have sent CONNECT by then; callers send it at once.");
    private static final Setting<Long> PROGRESS_TIMEOUT =
            Setting.of(
                    "caller-progress-timeout",
                    ValueTypes.number(100, 3_600_000),
                    "ms",
                    "20000",
                    "A half message, and the reading of an answer, must advance by 1 KiB within"
                            + " this time; a slow caller is not cut.");

    static List<Setting<?>> settings() {
        return List.of(
                SESSION_BYTES,
                TOTAL_BYTES,
                SESSIONS,
                UNCONNECTED,
                RESERVE,
                CONNECT_TIMEOUT,
                PROGRESS_TIMEOUT);
    }

    static CallerLimitSettings of(SettingValues values) {
        return new CallerLimitSettings(
                values.value(SESSION_BYTES),
                values.value(TOTAL_BYTES),
                values.number(SESSIONS),
                values.number(UNCONNECTED),
                values.number(RESERVE),
                values.value(CONNECT_TIMEOUT),
                values.value(PROGRESS_TIMEOUT));
    }

    /** Returns the limits, with those of 0 derived from the resources. */
    CallerLimits derive(ProcessResources resources) {
        int free = resources.freeDescriptors();
        int reserve = ConnectionLimits.or(descriptorReserve, free * 5 / 16);
        int most = Math.max(1, free - reserve);
        int all = Math.min(most, ConnectionLimits.or(sessions, most));
        return new CallerLimits(
                sessionBytes,
                ConnectionLimits.or(totalBytes, resources.heapBytes() / HEAP_SHARE),
                all,
                ConnectionLimits.or(unconnected, Math.max(1, all / UNCONNECTED_SHARE)),
                TimeUnit.MILLISECONDS.toNanos(connectTimeoutMillis),
                TimeUnit.MILLISECONDS.toNanos(progressTimeoutMillis));
    }
}
