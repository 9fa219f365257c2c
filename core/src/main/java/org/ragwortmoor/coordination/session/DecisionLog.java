package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import org.ragwortmoor.state.Position;

/** Receives the decisions of the session engine, for structured logs and metrics. */
public interface DecisionLog {
    /**
     * A statement was answered.
     *
     * @param id the caller's statement id
     * @param database database of the caller's session
     * @param server server that was used last; empty if the statement was sent to none
     * @param outcome {@code ok} or an error code
     * @param reason cause of an error; empty on success
     * @param required log position that a read had to see, if any
     * @param attempts number of attempts
     * @param nanos time since the arrival of the statement
     */
    void statement(
            String id,
            String database,
            String server,
            String outcome,
            String reason,
            Option<Position> required,
            int attempts,
            long nanos);

    /**
     * A statement that another proxy has forwarded was answered.
     *
     * @param from name of the other proxy
     * @see #statement
     */
    void forwardedStatement(
            String id,
            String from,
            String server,
            String outcome,
            String reason,
            Option<Position> required,
            int attempts,
            long nanos);

    /**
     * A server has answered a statement.
     *
     * @param kind {@code signed}, {@code unsigned} or an error code
     */
    void serverAnswered(String kind);

    /**
     * A server has sent something that is not the answer to the statement in progress.
     *
     * @param kind what is wrong with it
     * @param statementId id of the oldest unanswered statement; empty if there is none
     * @param message the first message of it that could not be assigned
     */
    void answerMismatched(
            String group, String server, String kind, String statementId, String message);

    /**
     * A server connection is being opened.
     *
     * @param cause {@code demand}, {@code advance} or {@code probe}
     */
    void connectionOpening(String cause);

    /**
     * An idle server connection was closed.
     *
     * @param cause {@code replaced}, {@code surplus} or {@code workspace_removed}
     */
    void idleConnectionClosed(String cause);

    /** A server connection could not be opened. */
    void connectionFailed(String group, String server, String reason);

    /** An open server connection was closed. */
    void connectionLost(String group, String server, String reason);

    /** Another server is now considered the leader of a group. */
    void leaderChanged(String group, String from, String to, String reason);

    /** The server that is considered the leader denied its leadership. */
    void leaderDenied(String group, String server, long term);

    /** A server that had denied its leadership has proved it. */
    void leaderConfirmed(String group, String server, long term);

    /** A new directory revision of routes or servers was applied. */
    void directoryApplied(long routesVersion, long routesRevision, long serversRevision);

    /** The proxy became isolated from the directory and most leaders, or is no longer isolated. */
    void isolationChanged(boolean isolated, int silentLeaders, int groups);

    /**
     * A caller was refused because of its key, at CONNECT or for a statement.
     *
     * @param cause {@code unknown} or {@code unconfirmed}
     */
    void keyRefused(String cause);

    /** The proxy closed a session, or aborted its transaction, without a request of the caller. */
    void sessionEnded(String database, String reason);
}
