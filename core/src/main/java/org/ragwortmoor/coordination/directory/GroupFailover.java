package org.ragwortmoor.coordination.directory;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.ragwortmoor.coordination.placement.ConnectionPlan;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.directory.FleetSize;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerState;
import org.ragwortmoor.state.routes.GroupLimits;

/**
 * Failover of one group: surveys the log positions of the replicas, waits until no proxy may use
 * the replaced primary any more, orders the promotion of the most advanced replica, and calls the
 * platform until the promotion is accepted, rejected or given up.
 */
final class GroupFailover {
    private enum Phase {
        WATCHING,
        SURVEYING,
        ORDERING,
        CALLING,
        SETTLING
    }

    private final String group;
    private final PrimaryLeaseTable leases;
    private final PrimaryFailureDetector failureDetector = new PrimaryFailureDetector();
    private final ReplicaSurvey survey = new ReplicaSurvey();
    private final PromotionCall call = new PromotionCall();
    private final Set<String> rejectedServers = new HashSet<>();
    private Phase phase = Phase.WATCHING;
    private long phaseDeadline;
    private String reason = "";
    private Option<ServerRecord> replacedPrimary = Option.none();
    private Option<Position> steppedDownAt = Option.none();
    private boolean replicationSuspended;
    private boolean plannedHandover;
    private long nextSurveyAt;
    private long nextStepDownAt;
    private int observers;
    private Option<Long> noPrimarySince = Option.none();

    GroupFailover(String group, PrimaryLeaseTable leases) {
        this.group = group;
        this.leases = leases;
    }

    PrimaryFailureDetector failureDetector() {
        return failureDetector;
    }

    /** Discards the state of an earlier leadership. */
    void reset(long now) {
        failureDetector.clear();
        rejectedServers.clear();
        replicationSuspended = false;
        noPrimarySince = Option.none();
        call.reset();
        phase = Phase.WATCHING;
        // Without fencing by the platform, an earlier leader's call must not arrive after ours.
        phaseDeadline = leases.required() ? now + FailoverSettings.PREDECESSOR_CALL_NANOS : now;
    }

    /** Advances the failover and returns the actions that are due. */
    List<FailoverAction> tick(DirectoryState state, GroupLimits limits, long now) {
        FleetSize fleet = state.fleet();
        observers =
                ConnectionPlan.of(limits.maxConnections(), fleet.proxies(), fleet.domains())
                        .observers(fleet.proxies(), fleet.domains());
        int syncReplicas = limits.syncReplicas();
        return switch (phase) {
            case WATCHING -> watch(state, syncReplicas, now);
            case SURVEYING -> survey(state, syncReplicas, now);
            case ORDERING -> {
                if (now - phaseDeadline >= 0) {
                    phase = Phase.WATCHING;
                }
                yield List.of();
            }
            case CALLING -> retryCall(state, now);
            case SETTLING -> {
                if (now - phaseDeadline >= 0) {
                    phase = Phase.WATCHING;
                    rejectedServers.clear();
                }
                yield List.of();
            }
        };
    }

    private List<FailoverAction> watch(DirectoryState state, int syncReplicas, long now) {
        if (unconfirmed(state)) {
            leases.withhold(group);
        } else {
            leases.resume(group);
        }
        if (now - phaseDeadline < 0) {
            return List.of();
        }
        Option<ServerRecord> primary = state.primary(group);
        if (unconfirmed(state) && mayPromoteAgain(primary, state, now)) {
            // An earlier leader may have ended before its call; only the call shows the outcome.
            reason = "the promotion is not confirmed";
            return order(primary.get().id(), now);
        }
        List<ServerRecord> replicas = promotableReplicas(state, primary);
        if (replicas.isEmpty()) {
            // No candidate is left; a server that was rejected may have recovered since.
            rejectedServers.clear();
            return List.of();
        }
        reason = reasonToPromote(state, primary, now);
        return reason.isEmpty() ? List.of() : startSurvey(primary, replicas, syncReplicas, now);
    }

    private List<FailoverAction> startSurvey(
            Option<ServerRecord> primary, List<ServerRecord> replicas, int syncReplicas, long now) {
        leases.withhold(group);
        replacedPrimary = primary;
        plannedHandover = primary.exists(p -> p.state() == ServerState.DRAINING);
        steppedDownAt = Option.none();
        survey.start(replicas);
        phase = Phase.SURVEYING;
        phaseDeadline =
                now
                        + (plannedHandover
                                ? FailoverSettings.HANDOVER_TIMEOUT_NANOS
                                : FailoverSettings.SURVEY_TIMEOUT_NANOS);
        replicationSuspended = syncReplicas > 0;
        List<FailoverAction> actions = new ArrayList<>();
        if (leases.required() && !plannedHandover) {
            actions.add(new FailoverAction.AnnounceWithheldLeases(group));
        }
        nextStepDownAt = now + FailoverSettings.SURVEY_INTERVAL_NANOS;
        // A primary that is still reachable for some proxies must not acknowledge commits that its
        // successor lacks.
        primary.forEach(p -> actions.add(new FailoverAction.StepDown(p)));
        actions.addAll(surveyActions(replicas, now));
        return actions;
    }

    private List<FailoverAction> surveyActions(List<ServerRecord> replicas, long now) {
        nextSurveyAt =
                now
                        + (plannedHandover
                                ? FailoverSettings.HANDOVER_SURVEY_INTERVAL_NANOS
                                : FailoverSettings.SURVEY_INTERVAL_NANOS);
        return replicas.stream()
                .map(r -> (FailoverAction) new FailoverAction.Survey(r, replicationSuspended))
                .toList();
    }

    /** Records the last position of the primary that is being replaced and has stepped down. */
    void recordStepDown(String server, Position position) {
        if (phase == Phase.SURVEYING && replacedPrimary.exists(p -> p.id().equals(server))) {
            steppedDownAt = Option.some(position);
        }
    }

    private boolean unconfirmed(DirectoryState state) {
        return leases.required() && state.promotions().get(group).exists(p -> !p.confirmed());
    }

    private boolean mayPromoteAgain(Option<ServerRecord> primary, DirectoryState state, long now) {
        return primary.exists(
                        p -> p.state() == ServerState.READY && !rejectedServers.contains(p.id()))
                && failureDetector.failureReason(observers, now).isEmpty();
    }

    private String reasonToPromote(DirectoryState state, Option<ServerRecord> primary, long now) {
        if (primary.isEmpty()) {
            boolean ended = state.promotions().containsKey(group);
            return ended || noPrimaryTimedOut(state, now) ? "the group has no primary" : "";
        }
        noPrimarySince = Option.none();
        if (primary.get().state() == ServerState.DRAINING) {
            return "primary " + primary.get().id() + " is draining";
        }
        if (unconfirmed(state) && rejectedServers.contains(primary.get().id())) {
            return "the promotion of " + primary.get().id() + " was rejected";
        }
        return failureDetector.failureReason(observers, now);
    }

    /**
     * Returns whether the group has had no primary for too long. The timeout is needed at startup,
     * when replicas may announce themselves before the primary does.
     */
    private boolean noPrimaryTimedOut(DirectoryState state, long now) {
        if (state.members(group).size() < 2) {
            return false;
        }
        if (noPrimarySince.isEmpty()) {
            noPrimarySince = Option.some(now);
        }
        return now - noPrimarySince.get() >= FailoverSettings.NO_PRIMARY_TIMEOUT_NANOS;
    }

    private List<ServerRecord> promotableReplicas(
            DirectoryState state, Option<ServerRecord> primary) {
        String id = primary.map(ServerRecord::id).getOrElse("");
        return state.members(group).stream()
                .filter(s -> s.state() == ServerState.READY && !s.id().equals(id))
                .filter(s -> !rejectedServers.contains(s.id()))
                .toList();
    }

    /** Records the status of a replica; ignored unless the current survey asked for it. */
    void recordStatus(ServerRecord server, ServerStatus status) {
        if (phase == Phase.SURVEYING) {
            survey.record(server.id(), status.received());
        }
    }

    private List<FailoverAction> survey(DirectoryState state, int syncReplicas, long now) {
        boolean timedOut = now - phaseDeadline >= 0;
        boolean awaitsPositions =
                plannedHandover
                        ? !handoverComplete() && !timedOut
                        : !survey.complete() && !timedOut;
        if (awaitsPositions) {
            return plannedHandover && survey.complete() ? repeatSurvey(state, now) : List.of();
        }
        if (primaryReachableAgain(state, now)) {
            return abandon(state, now);
        }
        if (primaryMayBeInUse(state, now)) {
            return repeatSurvey(state, now);
        }
        Option<String> best = survey.mostAdvanced();
        if (!survey.sufficient(syncReplicas) || best.isEmpty()) {
            return abandon(state, now);
        }
        // Without fencing by the platform, a delayed call would depose the server promoted now.
        if (leases.required() && call.delayedCallPossible(best.get(), now)) {
            return repeatSurvey(state, now);
        }
        reason += "; last position " + steppedDownAt.getOrNull() + "; replica positions " + survey;
        return order(best.get(), now);
    }

    /** Returns whether a proxy may still acknowledge commits of the primary being replaced. */
    private boolean primaryMayBeInUse(DirectoryState state, long now) {
        // A primary that has restarted since it stepped down may lead again.
        boolean sameIncarnation =
                replacedPrimary.exists(
                        replaced ->
                                state.servers()
                                        .get(replaced.id())
                                        .exists(
                                                s ->
                                                        s.startedAtMillis()
                                                                == replaced.startedAtMillis()));
        boolean steppedDown = steppedDownAt.isDefined() && sameIncarnation;
        return !steppedDown && leases.outstanding(group, now);
    }

    private boolean primaryReachableAgain(DirectoryState state, long now) {
        return !plannedHandover
                && state.primary(group).isDefined()
                && steppedDownAt.isEmpty()
                && failureDetector.majorityReachesLeader(observers, now);
    }

    /** Asks the primary to step down once more and updates the positions while waiting. */
    private List<FailoverAction> repeatSurvey(DirectoryState state, long now) {
        if (now - nextSurveyAt < 0) {
            return List.of();
        }
        List<FailoverAction> actions = new ArrayList<>();
        if (steppedDownAt.isEmpty() && now - nextStepDownAt >= 0) {
            nextStepDownAt = now + FailoverSettings.SURVEY_INTERVAL_NANOS;
            replacedPrimary.forEach(p -> actions.add(new FailoverAction.StepDown(p)));
        }
        actions.addAll(surveyActions(surveyedMembers(state), now));
        return actions;
    }

    private List<ServerRecord> surveyedMembers(DirectoryState state) {
        return state.members(group).stream().filter(s -> survey.includes(s.id())).toList();
    }

    /** Returns whether a replica has received every commit of the draining primary. */
    private boolean handoverComplete() {
        return steppedDownAt.exists(survey::reached);
    }

    private List<FailoverAction> abandon(DirectoryState state, long now) {
        phase = Phase.WATCHING;
        phaseDeadline = now + FailoverSettings.CALL_BACKOFF_NANOS;
        if (!replicationSuspended) {
            return List.of();
        }
        replicationSuspended = false;
        return surveyedMembers(state).stream()
                .map(s -> (FailoverAction) new FailoverAction.ResumeReplication(s))
                .toList();
    }

    private List<FailoverAction> order(String server, long now) {
        phase = Phase.ORDERING;
        phaseDeadline = now + FailoverSettings.CALL_RETRY_NANOS;
        return List.of(new FailoverAction.OrderPromotion(group, server, reason));
    }

    /** Starts the calls to the platform once the order is committed. */
    List<FailoverAction> orderCommitted(String server, long fencingToken, long now) {
        phase = Phase.CALLING;
        call.start(server, fencingToken, now);
        return callIfDue(now);
    }

    /**
     * Repeats the call, unless the proxies reach a leader again: an unanswered call may have been
     * carried out. Under leases the proxies reach no leader before the promotion is confirmed.
     */
    private List<FailoverAction> retryCall(DirectoryState state, long now) {
        boolean leaderFound =
                !leases.required() && failureDetector.majorityReachesLeader(observers, now);
        if (call.calls() > 0 && leaderFound) {
            phase = Phase.SETTLING;
            phaseDeadline = now + FailoverSettings.SETTLING_NANOS;
            return List.of();
        }
        return callIfDue(now);
    }

    private List<FailoverAction> callIfDue(long now) {
        if (!call.due(now)) {
            return List.of();
        }
        // Without fencing by the platform another server must not be called before this call has
        // certainly ended, so only an answer ends the calls.
        if (!leases.required() && call.calls() >= FailoverSettings.MAX_CALLS_PER_ORDER) {
            rejectedServers.add(call.server());
            phase = Phase.WATCHING;
            return List.of();
        }
        return List.of(call.next(group, now));
    }

    /** Records the platform's answer to a call and returns the actions that follow from it. */
    List<FailoverAction> recordCallOutcome(long calledToken, CallOutcome outcome, long now) {
        if (phase != Phase.CALLING || calledToken != call.token()) {
            return List.of();
        }
        switch (outcome) {
            case ACCEPTED -> {
                phase = Phase.SETTLING;
                phaseDeadline = now + FailoverSettings.SETTLING_NANOS;
                failureDetector.clear();
                leases.resume(group);
                return List.of(new FailoverAction.ConfirmPromotion(group, calledToken));
            }
            case REJECTED -> {
                rejectedServers.add(call.server());
                phase = Phase.WATCHING;
                phaseDeadline = now + FailoverSettings.CALL_BACKOFF_NANOS;
            }
            case UNKNOWN -> call.recordUnanswered(now);
        }
        return List.of();
    }

    /** Returns the state as one line of the state dump. */
    String describe(long now) {
        return group
                + " "
                + phase
                + " candidate="
                + call.server()
                + " token="
                + call.token()
                + " replaced="
                + replacedPrimary.map(ServerRecord::id).getOrElse("")
                + " leases="
                + leases.holders(group, now)
                + " reason="
                + reason;
    }
}
