package org.ragwortmoor.coordination.callers;

/**
 * What one session holds: bytes of a half message, of statements that are not answered, and of
 * answers that are not read. Bytes are in use until {@link CallerBudget} is told otherwise.
 */
public final class CallerAccount {
    private final Owner owner;
    private final long openedAt;
    private long halfMessageBytes;
    private long queuedBytes;
    private long unreadBytes;
    private int unanswered;
    private boolean connected;
    private boolean closed;

    private long receivedBytes;
    private long writtenBytes;
    private long receivedAtMark;
    private long receiveMarkAt;
    private long writtenAtMark;
    private long writeMarkAt;

    /** Whether the session may receive a large message at present. */
    boolean holdsGrant;

    /** Whether the session waits until it may receive a large message. */
    boolean awaitsGrant;

    /** Bytes that the budget has counted for the session. */
    long countedBytes;

    /** The connection of a session. */
    public interface Owner {
        /** Closes the connection. The account is closed already. */
        void close(CloseReason reason);

        /** Reading may have become possible. */
        void resume();
    }

    CallerAccount(Owner owner, long now) {
        this.owner = owner;
        this.openedAt = now;
        this.receiveMarkAt = now;
        this.writeMarkAt = now;
    }

    Owner owner() {
        return owner;
    }

    boolean closed() {
        return closed;
    }

    void markClosed() {
        closed = true;
    }

    boolean connected() {
        return connected;
    }

    void markConnected() {
        connected = true;
    }

    /** Returns the number of messages without an answer. */
    public int unanswered() {
        return unanswered;
    }

    /** Returns the bytes of answers that the caller has not read. */
    public long unreadBytes() {
        return unreadBytes;
    }

    long halfMessageBytes() {
        return halfMessageBytes;
    }

    /** Returns the bytes of statements without an answer and of answers that are not read. */
    long backlogBytes() {
        return queuedBytes + unreadBytes;
    }

    long heldBytes() {
        return halfMessageBytes + queuedBytes + unreadBytes;
    }

    /** Returns what would be freed by closing the session, without statements in progress. */
    long unfinishedBytes() {
        return halfMessageBytes + unreadBytes;
    }

    void received(int bytes) {
        receivedBytes += bytes;
        queuedBytes += bytes;
        unanswered++;
    }

    void answered() {
        unanswered = Math.max(0, unanswered - 1);
        if (unanswered == 0) {
            queuedBytes = 0;
        }
    }

    void setHalfMessage(long bytes, int newlyReceived) {
        halfMessageBytes = bytes;
        receivedBytes += newlyReceived;
    }

    void setUnread(long bytes, long newlyWritten) {
        unreadBytes = bytes;
        writtenBytes += newlyWritten;
    }

    /** Returns whether CONNECT is missing since {@code timeout} or longer. */
    boolean connectOverdue(long now, long timeout) {
        return !connected && now - openedAt >= timeout;
    }

    /** Returns whether a half message has not advanced for {@code timeout}, if it could. */
    boolean messageStopped(long now, long timeout, boolean readable) {
        boolean advanced = receivedBytes - receivedAtMark >= CallerLimits.MIN_PROGRESS_BYTES;
        if (halfMessageBytes == 0 || !readable || advanced) {
            receivedAtMark = receivedBytes;
            receiveMarkAt = now;
        }
        return now - receiveMarkAt >= timeout;
    }

    /** Returns whether the reading of answers has not advanced for {@code timeout}. */
    boolean readingStopped(long now, long timeout) {
        boolean advanced = writtenBytes - writtenAtMark >= CallerLimits.MIN_PROGRESS_BYTES;
        if (unreadBytes == 0 || advanced) {
            writtenAtMark = writtenBytes;
            writeMarkAt = now;
        }
        return now - writeMarkAt >= timeout;
    }
}
