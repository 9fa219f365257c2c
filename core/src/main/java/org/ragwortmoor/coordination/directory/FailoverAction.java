package org.ragwortmoor.coordination.directory;

import org.ragwortmoor.state.directory.ServerRecord;

/** An output of {@link FailoverCoordinator}. */
public sealed interface FailoverAction {
    /** Asks a replica for its log position; {@code suspend} stops it from receiving more. */
    record Survey(ServerRecord server, boolean suspend) implements FailoverAction {}

    /** Asks a primary to stop leading, and for its last log position. */
    record StepDown(ServerRecord server) implements FailoverAction {}

    /** Proposes the order of a promotion to the replicated log. */
    record Order(String group, String server, String reason) implements FailoverAction {}

    /** Calls the platform with the fencing token of the order. */
    record Call(String group, String server, long token) implements FailoverAction {}

    /** Lets a replica that was stopped receive again. */
    record Resume(ServerRecord server) implements FailoverAction {}
}
