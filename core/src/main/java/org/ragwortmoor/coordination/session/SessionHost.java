package org.ragwortmoor.coordination.session;

import java.util.List;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.statement.StatementMessage;

/**
 * Clock, timers and connections that the session engine needs from its process. All calls in both
 * directions are made on one thread.
 */
public interface SessionHost {
    /** Returns the monotonic clock, in nanoseconds. */
    long now();

    /** Returns the wall clock, in milliseconds; only differences between readings are used. */
    long wallMillis();

    /** Runs a task when {@link #now} has reached the deadline, or shortly afterwards. */
    Timer schedule(long deadline, Runnable task);

    /** Opens a connection to a server. */
    ServerLink connect(ServerRecord server, ServerLinkListener listener);

    /**
     * Returns the link to another proxy, and starts to connect to it if there is none.
     *
     * @param address address for forwarding
     */
    HolderLink link(String proxy, String address);

    /** A scheduled task. */
    interface Timer {
        /** Cancels the task; has no effect once the task has run. */
        void cancel();
    }

    /** A connection to a server. */
    interface ServerLink {
        /** Sends messages in order. */
        void send(List<StatementMessage> messages);

        /** Closes the connection; the listener is not called any more. */
        void close();
    }

    /** Receives the events of a connection to a server. */
    interface ServerLinkListener {
        /** The connection was opened. */
        void opened();

        /** A message arrived. */
        void received(StatementMessage message);

        /** The connection failed or was closed by the server. */
        void closed(String reason);
    }

    /** A connection from a caller. */
    interface CallerLink {
        /** Sends messages in order. */
        void send(List<StatementMessage> messages);

        /** Closes the connection after all messages sent so far. */
        void close();
    }
}
