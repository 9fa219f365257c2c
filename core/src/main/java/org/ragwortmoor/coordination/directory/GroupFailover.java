package org.ragwortmoor.coordination.directory;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerState;

/**
 * Failover of one group: surveys the log positions of the replicas, orders the promotion of the
 * most advanced one, and calls the platform until the promotion is accepted, rejected or given up.
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
    private final PrimaryFailureDetector failureDetector = new PrimaryFailureDetector();
    private final Map<String, Position> positions = new HashMap<>();
    private final Set<String> surveyedReplicas = new HashSet<>();
    private final Set<String> rejectedServers = new HashSet<>();
    private Phase phase = Phase.WATCHING;
    private long phaseDeadline;
    private String candidate = "";
    private String reason = "";
    private String replacedPrimary = "";
    private long orderToken;
    private int callCount;
    private boolean replicationSuspended;
    private boolean plannedHandover;
    private long nextSurveyAt;
    private Option<Position> replacedPrimaryPosition = Option.none();
    private Option<Long> noPrimarySince = Option.none();

    GroupFailover(String group) {
        this.group = group;
    }

    PrimaryFailureDetector failureDetector() {
        return failureDetector;
    }

    /** Discards the state of an earlier leadership. */
    void reset(long now) {
        failureDetector.clear();
        rejectedServers.clear();
        surveyedReplicas.clear();
        replicationSuspended = false;
        noPrimarySince = Option.none();
        phase = Phase.WATCHING;
        phaseDeadline = now;
    }

    /** Advances the failover and returns the actions that are due. */
    List<FailoverAction> tick(DirectoryState state, int syncReplicas, long now) {
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
        if (now - phaseDeadline < 0) {
            return List.of();
        }
        Option<ServerRecord> primary = state.primary(group);
        List<ServerRecord> replicas = promotableReplicas(state, primary);
        if (replicas.isEmpty()) {
            // No candidate is left; a server that was rejected may have recovered since.
            rejectedServers.clear();
            return List.of();
        }
        reason = reasonToPromote(state, primary, now);
        if (reason.isEmpty()) {
            return List.of();
        }
        replacedPrimary = primary.map(ServerRecord::id).getOrElse("");
        plannedHandover = primary.exists(p -> p.state() == ServerState.DRAINING);
        replacedPrimaryPosition = Option.none();
        positions.clear();
        surveyedReplicas.clear();
        phase = Phase.SURVEYING;
        phaseDeadline =
                now
                        + (plannedHandover
                                ? FailoverSettings.HANDOVER_TIMEOUT_NANOS
                                : FailoverSettings.SURVEY_TIMEOUT_NANOS);
        replicationSuspended = syncReplicas > 0;
        replicas.forEach(r -> surveyedReplicas.add(r.id()));
        List<FailoverAction> actions = new ArrayList<>();
        // A primary that is still reachable for some proxies must not acknowledge commits that its
        // successor lacks.
        primary.forEach(p -> actions.add(new FailoverAction.StepDown(p)));
        actions.addAll(surveyActions(replicas, now));
        return actions;
    }

    private List<FailoverAction> surveyActions(List<ServerRecord> replicas, long now) {
        nextSurveyAt = now + FailoverSettings.SURVEY_INTERVAL_NANOS;
        return replicas.stream()
                .map(r -> (FailoverAction) new FailoverAction.Survey(r, replicationSuspended))
                .toList();
    }

    /** Records the last position of the primary that is being replaced. */
    void recordStepDown(String server, Position position) {
        if (phase == Phase.SURVEYING && server.equals(replacedPrimary)) {
            replacedPrimaryPosition = Option.some(position);
        }
    }

    private String reasonToPromote(DirectoryState state, Option<ServerRecord> primary, long now) {
        if (primary.isEmpty()) {
            return noPrimaryTimedOut(state, now) ? "the group has no primary" : "";
        }
        noPrimarySince = Option.none();
        if (primary.get().state() == ServerState.DRAINING) {
            return "primary " + primary.get().id() + " is draining";
        }
        return failureDetector.failureReason(state.proxies(), now);
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

    /** Records the position of a replica; ignored unless the current survey asked for it. */
    void recordPosition(String server, Position position) {
        if (phase == Phase.SURVEYING && surveyedReplicas.contains(server)) {
            positions.put(server, position);
        }
    }

    private List<FailoverAction> survey(DirectoryState state, int syncReplicas, long now) {
        boolean complete = positions.size() == surveyedReplicas.size();
        boolean timedOut = now - phaseDeadline >= 0;
        if (plannedHandover && !timedOut && !handoverComplete()) {
            return complete && now - nextSurveyAt >= 0
                    ? surveyActions(
                            state.members(group).stream()
                                    .filter(s -> surveyedReplicas.contains(s.id()))
                                    .toList(),
                            now)
                    : List.of();
        }
        if (!plannedHandover && !complete && !timedOut) {
            return List.of();
        }
        // With synchronous replication, any single replica may be the only one that holds an
        // acknowledged commit, so all of them must have answered.
        boolean enoughAnswers = syncReplicas == 0 ? !positions.isEmpty() : complete;
        Option<String> best = Option.none();
        for (Map.Entry<String, Position> entry : positions.entrySet()) {
            boolean better =
                    best.isEmpty() || entry.getValue().compareTo(positions.get(best.get())) > 0;
            if (better) {
                best = Option.some(entry.getKey());
            }
        }
        phase = Phase.WATCHING;
        phaseDeadline = now + FailoverSettings.CALL_BACKOFF_NANOS;
        if (!enoughAnswers || best.isEmpty()) {
            return resumeReplication(state);
        }
        candidate = best.get();
        phase = Phase.ORDERING;
        phaseDeadline = now + FailoverSettings.CALL_RETRY_NANOS;
        return List.of(
                new FailoverAction.OrderPromotion(
                        group,
                        candidate,
                        reason
                                + "; last position "
                                + replacedPrimaryPosition.getOrNull()
                                + "; replica positions "
                                + positions));
    }

    /** Returns whether a replica has received every commit of the draining primary. */
    private boolean handoverComplete() {
        return replacedPrimaryPosition.exists(
                last -> positions.values().stream().anyMatch(p -> p.compareTo(last) >= 0));
    }

    private List<FailoverAction> resumeReplication(DirectoryState state) {
        if (!replicationSuspended) {
            return List.of();
        }
        replicationSuspended = false;
        return state.members(group).stream()
                .filter(s -> surveyedReplicas.contains(s.id()))
                .map(s -> (FailoverAction) new FailoverAction.ResumeReplication(s))
                .toList();
    }

    /** Starts the calls to the platform once the order is committed. */
    List<FailoverAction> orderCommitted(String server, long fencingToken, long now) {
        phase = Phase.CALLING;
        candidate = server;
        orderToken = fencingToken;
        callCount = 0;
        phaseDeadline = now;
        return call(now);
    }

    /**
     * Repeats the call, unless the proxies reach a leader again: an unanswered call may have been
     * carried out.
     */
    private List<FailoverAction> retryCall(DirectoryState state, long now) {
        if (callCount > 0 && failureDetector.majorityReachesLeader(state.proxies(), now)) {
            phase = Phase.SETTLING;
            phaseDeadline = now + FailoverSettings.SETTLING_NANOS;
            return List.of();
        }
        return call(now);
    }

    private List<FailoverAction> call(long now) {
        if (now - phaseDeadline < 0) {
            return List.of();
        }
        if (callCount >= FailoverSettings.MAX_CALLS_PER_ORDER) {
            rejectedServers.add(candidate);
            phase = Phase.WATCHING;
            return List.of();
        }
        callCount++;
        phaseDeadline = now + FailoverSettings.CALL_RETRY_NANOS;
        return List.of(new FailoverAction.CallPromotion(group, candidate, orderToken));
    }

    /** Records the platform's answer to a call. */
    void recordCallOutcome(long calledToken, CallOutcome outcome, long now) {
        if (phase != Phase.CALLING || calledToken != orderToken) {
            return;
        }
        switch (outcome) {
            case ACCEPTED -> {
                phase = Phase.SETTLING;
                phaseDeadline = now + FailoverSettings.SETTLING_NANOS;
                failureDetector.clear();
            }
            case REJECTED -> {
                rejectedServers.add(candidate);
                phase = Phase.WATCHING;
                phaseDeadline = now + FailoverSettings.CALL_BACKOFF_NANOS;
            }
            case UNKNOWN -> phaseDeadline = now + FailoverSettings.CALL_BACKOFF_NANOS;
        }
    }

    /** Returns the state as one line of the state dump. */
    String describe() {
        return group
                + " "
                + phase
                + " candidate="
                + candidate
                + " token="
                + orderToken
                + " replaced="
                + replacedPrimary
                + " reason="
                + reason;
    }
}
