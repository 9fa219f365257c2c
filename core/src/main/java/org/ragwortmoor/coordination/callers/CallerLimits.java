package org.ragwortmoor.coordination.callers;

/**
 * Limits on what callers of the statement protocol may take from a proxy.
 *
 * @param maxSessionBytes bytes queued and unread by one session from which it is not read
 * @param maxTotalBytes bytes held by all sessions from which large holders are not read
 * @param maxSessions maximum number of sessions
 * @param maxUnconnected maximum number of sessions without CONNECT
 * @param connectTimeoutNanos time within which a session must have sent CONNECT
 * @param progressTimeoutNanos time within which a half message, or the reading of an answer, must
 *     advance by {@link #MIN_PROGRESS_BYTES}
 */
public record CallerLimits(
        long maxSessionBytes,
        long maxTotalBytes,
        int maxSessions,
        int maxUnconnected,
        long connectTimeoutNanos,
        long progressTimeoutNanos) {
    /** A caller that sends or reads 1 KiB within the progress timeout is slow, but not stopped. */
    static final long MIN_PROGRESS_BYTES = 1 << 10;

    /** Limits that no caller reaches, for tests of other parts. */
    public static CallerLimits unlimited() {
        return new CallerLimits(
                Long.MAX_VALUE / 4,
                Long.MAX_VALUE / 4,
                Integer.MAX_VALUE,
                Integer.MAX_VALUE,
                Long.MAX_VALUE / 4,
                Long.MAX_VALUE / 4);
    }
}
