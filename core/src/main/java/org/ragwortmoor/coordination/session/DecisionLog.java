package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import org.ragwortmoor.state.Position;

/** Receives the engine's decisions, for structured log lines and counters. */
public interface DecisionLog {
    /**
     * A statement has ended.
     *
     * @param id the caller's statement id
     * @param database database of the session
     * @param server server that answered last; empty if none was asked
     * @param outcome {@code ok} or an error code
     * @param reason inputs that decided; empty for a success
     * @param required position that the statement had to see, if any
     * @param attempts times that it was sent
     * @param nanos time since its arrival
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

    /** A connection could not be opened. */
    void connectionFailed(String group, String server, String reason);

    /** An open connection ended. */
    void connectionLost(String group, String server, String reason);

    /** Another server is taken for the leader of a group. */
    void leaderChanged(String group, String from, String to, String reason);

    /** The server that was taken for the leader denied it. */
    void leaderDenied(String group, String server, long term);

    /** The server that had denied it was proved to lead. */
    void leaderConfirmed(String group, String server, long term);

    /** Routes or servers of a new directory revision are in force. */
    void directoryApplied(long routesVersion, long routesRevision, long serversRevision);

    /** The proxy found itself cut off from the directory and most leaders, or no longer so. */
    void isolationChanged(boolean isolated, int silentLeaders, int groups);

    /** A caller's session ended before it was asked to. */
    void sessionEnded(String database, String reason);
}
