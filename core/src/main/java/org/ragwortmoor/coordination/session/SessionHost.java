package org.ragwortmoor.coordination.session;

import java.util.List;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.statement.StatementMessage;

/**
 * What the session engine needs from its process. All calls in both directions are made on one
 * thread.
 */
public interface SessionHost {
    /** Returns the time of the monotonic clock, in nanoseconds. */
    long now();

    /** Returns the time of day, in milliseconds; only compared with itself. */
    long wallMillis();

    /** Runs a task at a time of {@link #now}, or soon after. */
    Timer schedule(long deadline, Runnable task);

    /** Opens a connection to a server. */
    ServerLink connect(ServerRecord server, ServerLinkListener listener);

    /** A scheduled task. */
    interface Timer {
        /** Prevents the task from running; has no effect afterwards. */
        void cancel();
    }

    /** A connection to a server. */
    interface ServerLink {
        /** Sends messages in order. */
        void send(List<StatementMessage> messages);

        /** Closes the connection; the listener hears nothing more. */
        void close();
    }

    /** Hears of a connection to a server. */
    interface ServerLinkListener {
        /** The connection is open. */
        void opened();

        /** A message arrived. */
        void received(StatementMessage message);

        /** The connection failed or was closed by the other side. */
        void closed(String reason);
    }

    /** A caller's connection. */
    interface CallerLink {
        /** Sends messages in order. */
        void send(List<StatementMessage> messages);

        /** Closes the connection after everything sent so far. */
        void close();
    }
}
