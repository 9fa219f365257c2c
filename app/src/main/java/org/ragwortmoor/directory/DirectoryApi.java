package org.ragwortmoor.directory;

import java.util.concurrent.CompletionStage;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.routes.RouteTable;

/** Requests of servers and operators, served by any directory process. */
public interface DirectoryApi {
    /** Outcome of a request. */
    enum Outcome {
        /** The request was carried out, now or by an earlier attempt. */
        DONE,
        /** No definite answer in time, or no quorum; retrying at any process is safe. */
        UNAVAILABLE,
        /** The request is out of bounds, and retrying it unchanged is of no use. */
        REFUSED
    }

    /**
     * Result of reading the routes.
     *
     * @param source the document as the operator sent it; empty unless the outcome is {@code DONE}
     */
    record RoutesResult(Outcome outcome, String source) {}

    /** Activates a valid route table if its version is the highest so far. */
    CompletionStage<Outcome> putRoutes(RouteTable table);

    /** Returns the newest table; never one older than a table acknowledged before the call. */
    CompletionStage<RoutesResult> readRoutes();

    /**
     * Result of an announcement.
     *
     * @param reason the field that is out of bounds, and its bound; empty unless the outcome is
     *     {@code REFUSED}
     */
    record AnnouncementResult(Outcome outcome, String reason) {}

    /**
     * Records a server's announcement.
     *
     * @param sequence sequence number of the announcement within the server's incarnation
     */
    CompletionStage<AnnouncementResult> announce(ServerRecord server, long sequence);

    /** Logs and counts an announcement that could not be read. */
    void recordUnreadable(String server, String reason);
}
