package org.ragwortmoor.directory;

import java.util.concurrent.CompletionStage;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.routes.RouteTable;

/** What servers and operators may ask of any directory process. */
public interface DirectoryApi {
    /** How a request ended. */
    enum Outcome {
        /** Done, or already done before. */
        DONE,
        /** No clear answer in time, or no majority; the caller may ask again, anywhere. */
        UNAVAILABLE
    }

    /**
     * The newest routes.
     *
     * @param source the operator's text; empty unless the outcome is {@code DONE}
     */
    record Routes(Outcome outcome, String source) {}

    /** Puts a valid table in force if its version is the highest so far. */
    CompletionStage<Outcome> putRoutes(RouteTable table);

    /** Returns the newest table; never an older one than was acknowledged before the call. */
    CompletionStage<Routes> readRoutes();

    /**
     * Takes what a server says of itself.
     *
     * @param sequence number of the announcement in the server's incarnation
     */
    CompletionStage<Outcome> announce(ServerRecord server, long sequence);
}
