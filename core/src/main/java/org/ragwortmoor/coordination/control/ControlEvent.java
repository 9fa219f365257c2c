package org.ragwortmoor.coordination.control;

import org.ragwortmoor.state.endpoint.EndpointAnswer;

/**
 * An input of {@link ControlCore}.
 *
 * <p>Reports and announcements are handled by every control process, including followers, so that a
 * new leader already knows the announcements, the rule versions and the report delays. The
 * observations of a proxy arrive with its first complete report.
 */
public sealed interface ControlEvent {
    /** This process became the leader of a consensus term. */
    record BecameLeader(long consensusTerm) implements ControlEvent {}

    /** This process is no longer the leader. */
    record LostLeadership() implements ControlEvent {}

    /**
     * The readiness of the leader to answer requests changed.
     *
     * @param ready whether its quorum lease is valid and its first entry is committed and applied
     */
    record ReadyChanged(boolean ready) implements ControlEvent {}

    /**
     * A committed command was applied.
     *
     * @param command the committed command
     * @param result outcome of the command
     * @param state state after the command
     */
    record CommandCommitted(ControlCommand command, CommandResult result, ControlState state)
            implements ControlEvent {}

    /** The replicated state was replaced by a snapshot. */
    record StateRestored(ControlState state) implements ControlEvent {}

    /** A report of a proxy was received. */
    record ReportReceived(ProxyReport report) implements ControlEvent {}

    /** An announcement of an endpoint was received. */
    record AnnouncementReceived(Announcement announcement) implements ControlEvent {}

    /** An endpoint answered a call. */
    record EndpointAnswered(long call, EndpointAnswer answer) implements ControlEvent {}

    /** A call failed: there was no connection, or no answer within the host's timeout. */
    record EndpointFailed(long call, String reason) implements ControlEvent {}

    /** An operator requested a change. */
    record OperatorRequested(OperatorRequest request) implements ControlEvent {}

    /**
     * Periodic tick, sent no later than {@link ControlCore#nextDeadline}.
     *
     * @param wallMillis wall-clock time in milliseconds, recorded for display only
     */
    record Tick(long wallMillis) implements ControlEvent {}
}
