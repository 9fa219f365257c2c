package org.ragwortmoor.coordination.control;

import org.ragwortmoor.state.endpoint.EndpointAnswer;

/**
 * An input of {@link ControlCore}.
 *
 * <p>Reports and announcements are passed on every member, also while it is no leader, so that a
 * new leader starts with the announcements, the rule versions and the delays of the reports. The
 * observations of a proxy follow in its first complete report.
 */
public sealed interface ControlEvent {
    /** This member became the leader of a consensus term. */
    record BecameLeader(long consensusTerm) implements ControlEvent {}

    /** This member is no longer the leader. */
    record LostLeadership() implements ControlEvent {}

    /**
     * The leader may answer ({@code ready}) or may no longer.
     *
     * @param ready whether its quorum lease is valid and its first entry is committed and applied
     */
    record ReadyChanged(boolean ready) implements ControlEvent {}

    /**
     * A committed command was applied.
     *
     * @param command the command
     * @param result what it did
     * @param state the state after it
     */
    record CommandCommitted(ControlCommand command, CommandResult result, ControlState state)
            implements ControlEvent {}

    /** The state was replaced by a snapshot. */
    record StateRestored(ControlState state) implements ControlEvent {}

    /** A proxy's report arrived. */
    record ReportReceived(ProxyReport report) implements ControlEvent {}

    /** An endpoint's announcement arrived. */
    record AnnouncementReceived(Announcement announcement) implements ControlEvent {}

    /** An endpoint answered a call. */
    record EndpointAnswered(long call, EndpointAnswer answer) implements ControlEvent {}

    /** A call failed: no connection, or no answer within the host's limit. */
    record EndpointFailed(long call, String reason) implements ControlEvent {}

    /** An operator asks for a change. */
    record OperatorRequested(OperatorRequest request) implements ControlEvent {}

    /**
     * Time has passed; sent at the latest at {@link ControlCore#nextDeadline}.
     *
     * @param wallMillis wall-clock time in milliseconds, recorded for display and never compared
     */
    record Tick(long wallMillis) implements ControlEvent {}
}
