package org.ragwortmoor.coordination.directory;

import org.ragwortmoor.state.directory.ServerRecord;

/** An action requested by {@link FailoverCoordinator}, to be executed by its host. */
public sealed interface FailoverAction {
    /** Asks a server for its status. */
    record Survey(ServerRecord server) implements FailoverAction {}

    /**
     * Suspends the replication to a replica, and asks for its status afterwards.
     *
     * @param aboveTerm a term that is not below any term of the group
     */
    record SuspendReplication(ServerRecord server, long aboveTerm) implements FailoverAction {}

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

    /** Resumes the replication to a replica, and asks for its status afterwards. */
    record ResumeReplication(ServerRecord server) implements FailoverAction {}

    /** Records in the replicated log whether replicas of a group may be suspended. */
    record RecordSuspension(String group, boolean suspended) implements FailoverAction {}

    /**
     * Records in the replicated log that the servers of a group hold the commits of those whose end
     * was recorded at the log index or before.
     */
    record ConfirmReplication(String group, long index) implements FailoverAction {}

    /** Records in the replicated log that a server has ended. */
    record RecordEnd(ServerRecord server) implements FailoverAction {}

    /** Reports that no server can be promoted without the risk of losing acknowledged commits. */
    record ReportBlocked(String group, String reason) implements FailoverAction {}
}
