package org.ragwortmoor.coordination.directory;

import java.util.List;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.ServerRecord;

/** One attempt to find the server that replaces a primary. */
interface FailoverAttempt {
    /** Advances the attempt. */
    Result tick(FailoverView view, long now);

    /** Returns the surveys that are due while a promotion that was found has to wait. */
    List<FailoverAction> repeat(FailoverView view, long now);

    /** Returns whether the attempt has begun to suspend replicas. */
    boolean suspends();

    /** Records the status of a server that this attempt has asked. */
    void recordStatus(ServerRecord server, ServerStatus status);

    /** Records the last position of the primary that is replaced and has stepped down. */
    void recordStepDown(ServerRecord server, Position position);

    /** State of an attempt. */
    sealed interface Result {
        /** The attempt goes on; the actions are due. */
        record Pending(List<FailoverAction> actions) implements Result {}

        /** The server is promoted, for the positions that are described. */
        record Promote(ServerRecord server, String positions) implements Result {}

        /** The server leads the group already. */
        record Leads(ServerRecord server) implements Result {}

        /** No server is promoted now. */
        record Abandon() implements Result {}

        /** No server can be promoted without the risk of losing acknowledged commits. */
        record Blocked(String reason) implements Result {}
    }
}
