package org.ragwortmoor.coordination.directory;

import org.ragwortmoor.state.directory.ServerRecord;

/** An action requested by {@link FailoverCoordinator}, to be executed by its host. */
public sealed interface FailoverAction {
    /** Queries the log position of a replica; {@code suspend} also stops its replication. */
    record Survey(ServerRecord server, boolean suspend) implements FailoverAction {}

    /** Asks a primary to step down and to return its last log position. */
    record StepDown(ServerRecord server) implements FailoverAction {}

    /** Proposes a promotion order to the replicated log. */
    record OrderPromotion(String group, String server, String reason) implements FailoverAction {}

    /** Calls the platform to promote a server, with the fencing token of the committed order. */
    record CallPromotion(String group, String server, long token) implements FailoverAction {}

    /** Records in the replicated log that the platform has confirmed a promotion. */
    record ConfirmPromotion(String group, long token) implements FailoverAction {}

    /** Tells all proxies at once that leases on the group's primary are withheld. */
    record AnnounceWithheldLeases(String group) implements FailoverAction {}

    /** Resumes the replication of a replica that a survey suspended. */
    record ResumeReplication(ServerRecord server) implements FailoverAction {}
}
