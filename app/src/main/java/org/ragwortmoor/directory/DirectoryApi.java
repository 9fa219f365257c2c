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
        UNAVAILABLE
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
     * Records a server's announcement.
     *
     * @param sequence sequence number of the announcement within the server's incarnation
     */
    CompletionStage<Outcome> announce(ServerRecord server, long sequence);
}
