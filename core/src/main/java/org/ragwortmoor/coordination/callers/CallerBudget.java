package org.ragwortmoor.coordination.callers;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Decides which sessions are read, refused and closed, so that callers do not exhaust the memory
 * and the descriptors of a proxy. Without I/O, threads and clock; confined to one thread.
 *
 * <p>A session is not read while it holds more than its share. Large messages are received by a few
 * sessions at a time, in order of arrival; small ones are always received. If that does not
 * suffice, the sessions that hold most in half messages and unread answers are closed. A session
 * that only waits for an answer is not.
 */
public final class CallerBudget {
    /** Size of a half message from which a session must wait for its turn. */
    static final long LARGE_MESSAGE_BYTES = 64 << 10;

    /**
     * Memory for receiving and executing a message of 1 MiB: the buffer, which doubles as it grows,
     * the text, and the copy for the server.
     */
    static final long LARGE_MESSAGE_RESERVE_BYTES = 4 << 20;

    /** Bytes that each session may hold, also when all together hold too much. */
    static final long ALWAYS_READ_BYTES = 4 << 10;

    /** Messages without an answer from which a session is not read. */
    static final int MAX_UNANSWERED = 32;

    /** Time without progress after which a large message gives way to one that waits. */
    static final long GIVE_WAY_NANOS = 2_000_000_000L;

    /** Time for which the limit of all sessions may be exceeded before sessions are closed. */
    static final long EXCESS_NANOS = 1_000_000_000L;

    private final CallerLimits limits;
    private final int maxGrants;
    private final Set<CallerAccount> accounts = new LinkedHashSet<>();
    private final Set<CallerAccount> unconnected = new LinkedHashSet<>();
    private final Deque<CallerAccount> grantQueue = new ArrayDeque<>();
    private int grants;
    private long totalBytes;
    private Option<Long> excessSince = Option.none();

    /** Creates a budget without sessions. */
    public CallerBudget(CallerLimits limits) {
        this.limits = limits;
        this.maxGrants =
                (int)
                        Math.min(
                                Integer.MAX_VALUE,
                                Math.max(
                                        1,
                                        limits.maxTotalBytes() / 2 / LARGE_MESSAGE_RESERVE_BYTES));
    }

    /** Opens the account of a new session; none if the session must be refused. */
    public Option<CallerAccount> open(CallerAccount.Owner owner, long now) {
        boolean full = accounts.size() >= limits.maxSessions();
        if (!unconnected.isEmpty() && (full || unconnected.size() >= limits.maxUnconnected())) {
            close(unconnected.iterator().next(), CloseReason.UNCONNECTED);
        } else if (full) {
            return Option.none();
        }
        CallerAccount account = new CallerAccount(owner, now);
        accounts.add(account);
        unconnected.add(account);
        return Option.some(account);
    }

    /** Removes the account of a session that has ended. */
    public void remove(CallerAccount account) {
        account.markClosed();
        accounts.remove(account);
        unconnected.remove(account);
        releaseGrant(account);
        if (account.awaitsGrant) {
            account.awaitsGrant = false;
            grantQueue.remove(account);
        }
        totalBytes -= account.countedBytes;
        account.countedBytes = 0;
    }

    /** Records that a session has sent CONNECT and was accepted. */
    public void connected(CallerAccount account) {
        if (!account.connected()) {
            account.markConnected();
            unconnected.remove(account);
        }
    }

    /** Records a complete message of a session. */
    public void received(CallerAccount account, int bytes) {
        account.received(bytes);
        count(account);
    }

    /** Records that the oldest message of a session was answered. */
    public void answered(CallerAccount account) {
        account.answered();
        count(account);
    }

    /**
     * Records the half message of a session.
     *
     * @param bytes memory that it takes; 0 without a half message
     * @param newlyReceived bytes received since the last call
     */
    public void halfMessage(CallerAccount account, long bytes, int newlyReceived) {
        account.setHalfMessage(bytes, newlyReceived);
        count(account);
    }

    /**
     * Records the answers that a session has not read.
     *
     * @param bytes memory that they take
     * @param newlyWritten bytes that the caller has read since the last call
     */
    public void unread(CallerAccount account, long bytes, long newlyWritten) {
        account.setUnread(bytes, newlyWritten);
        count(account);
        if (totalBytes >= 2 * limits.maxTotalBytes()) {
            closeLargest();
        }
    }

    /** Returns whether another message of the session may be handled. */
    public boolean mayHandle(CallerAccount account) {
        return !account.closed()
                && account.unanswered() < MAX_UNANSWERED
                && account.backlogBytes() < limits.maxSessionBytes();
    }

    /** Returns whether the session may be read. */
    public boolean mayRead(CallerAccount account) {
        return mayHandle(account)
                && !account.awaitsGrant
                && (account.holdsGrant
                        || totalBytes < limits.maxTotalBytes()
                        || account.heldBytes() <= ALWAYS_READ_BYTES);
    }

    private void count(CallerAccount account) {
        if (account.closed()) {
            return;
        }
        boolean large = account.halfMessageBytes() > LARGE_MESSAGE_BYTES;
        if (account.holdsGrant) {
            if (!large && account.unanswered() == 0) {
                releaseGrant(account);
            }
        } else if (large != account.awaitsGrant) {
            account.awaitsGrant = large;
            if (large) {
                grantQueue.add(account);
            } else {
                grantQueue.remove(account);
            }
        }
        recount(account);
        grantNext();
    }

    private void recount(CallerAccount account) {
        long bytes =
                account.holdsGrant
                        ? Math.max(LARGE_MESSAGE_RESERVE_BYTES, account.heldBytes())
                        : account.heldBytes();
        totalBytes += bytes - account.countedBytes;
        account.countedBytes = bytes;
    }

    private void releaseGrant(CallerAccount account) {
        if (account.holdsGrant) {
            account.holdsGrant = false;
            grants--;
        }
    }

    private void grantNext() {
        while (grants < maxGrants && !grantQueue.isEmpty()) {
            CallerAccount next = grantQueue.poll();
            grants++;
            next.awaitsGrant = false;
            next.holdsGrant = true;
            recount(next);
            next.owner().resume();
        }
    }

    /** Closes sessions that have stopped or hold too much; to be called periodically. */
    public void tick(long now) {
        grantNext();
        for (CallerAccount account : List.copyOf(accounts)) {
            check(account, now);
        }
        if (totalBytes < limits.maxTotalBytes()) {
            excessSince = Option.none();
        } else if (excessSince.isEmpty()) {
            excessSince = Option.some(now);
        } else if (now - excessSince.get() >= EXCESS_NANOS) {
            closeLargest();
        }
        grantNext();
    }

    private void check(CallerAccount account, long now) {
        if (account.closed()) {
            return;
        }
        boolean readable = mayRead(account);
        boolean othersWait = account.holdsGrant && !grantQueue.isEmpty();
        long messageTimeout =
                othersWait
                        ? Math.min(GIVE_WAY_NANOS, limits.progressTimeoutNanos())
                        : limits.progressTimeoutNanos();
        if (account.connectOverdue(now, limits.connectTimeoutNanos())) {
            close(account, CloseReason.CONNECT_TIMEOUT);
        } else if (account.messageStopped(now, messageTimeout, readable)) {
            close(account, CloseReason.MESSAGE_PROGRESS);
        } else if (account.readingStopped(now, limits.progressTimeoutNanos())) {
            close(account, CloseReason.ANSWER_PROGRESS);
        } else if (readable) {
            account.owner().resume();
        }
    }

    /** Closes the sessions with most unfinished bytes until the rest is within the limit. */
    private void closeLargest() {
        List<CallerAccount> largest =
                accounts.stream()
                        .filter(a -> a.unfinishedBytes() > ALWAYS_READ_BYTES)
                        .sorted(Comparator.comparingLong(CallerAccount::unfinishedBytes).reversed())
                        .toList();
        for (CallerAccount account : largest) {
            if (totalBytes < limits.maxTotalBytes()) {
                return;
            }
            close(account, CloseReason.TOTAL_BYTES);
        }
    }

    private void close(CallerAccount account, CloseReason reason) {
        remove(account);
        account.owner().close(reason);
    }

    /** Returns the number of sessions. */
    public int sessions() {
        return accounts.size();
    }

    /** Returns the number of sessions that have not sent CONNECT. */
    public int unconnectedSessions() {
        return unconnected.size();
    }

    /** Returns the bytes held by all sessions. */
    public long totalBytes() {
        return totalBytes;
    }
}
