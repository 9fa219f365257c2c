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

/** The promotion of one group: survey of the replicas, order, call. */
final class GroupFailover {
    private enum Phase {
        WATCHING,
        SURVEYING,
        ORDERING,
        CALLING,
        SETTLING
    }

    private final String group;
    private final PrimaryEvidence evidence = new PrimaryEvidence();
    private final Map<String, Position> positions = new HashMap<>();
    private final Set<String> surveyed = new HashSet<>();
    private final Set<String> rejected = new HashSet<>();
    private Phase phase = Phase.WATCHING;
    private long phaseUntil;
    private String candidate = "";
    private String reason = "";
    private String replaced = "";
    private long token;
    private int calls;
    private boolean suspended;
    private boolean planned;
    private long surveyAgainAt;
    private Option<Position> lastCommit = Option.none();
    private Option<Long> primarylessSince = Option.none();

    GroupFailover(String group) {
        this.group = group;
    }

    PrimaryEvidence evidence() {
        return evidence;
    }

    /** Forgets what an earlier leadership has begun. */
    void restart(long now) {
        evidence.clear();
        rejected.clear();
        surveyed.clear();
        suspended = false;
        primarylessSince = Option.none();
        phase = Phase.WATCHING;
        phaseUntil = now;
    }

    /** Returns the next actions. */
    List<FailoverAction> tick(DirectoryState state, int syncReplicas, long now) {
        return switch (phase) {
            case WATCHING -> watch(state, syncReplicas, now);
            case SURVEYING -> survey(state, syncReplicas, now);
            case ORDERING -> {
                if (now - phaseUntil >= 0) {
                    phase = Phase.WATCHING;
                }
                yield List.of();
            }
            case CALLING -> callAgain(state, now);
            case SETTLING -> {
                if (now - phaseUntil >= 0) {
                    phase = Phase.WATCHING;
                    rejected.clear();
                }
                yield List.of();
            }
        };
    }

    private List<FailoverAction> watch(DirectoryState state, int syncReplicas, long now) {
        if (now - phaseUntil < 0) {
            return List.of();
        }
        Option<ServerRecord> primary = state.primary(group);
        List<ServerRecord> replicas = replicas(state, primary);
        if (replicas.isEmpty()) {
            // A server that was refused once may have come back.
            rejected.clear();
            return List.of();
        }
        reason = reasonToPromote(state, primary, now);
        if (reason.isEmpty()) {
            return List.of();
        }
        replaced = primary.map(ServerRecord::id).getOrElse("");
        planned = primary.exists(p -> p.state() == ServerState.DRAINING);
        lastCommit = Option.none();
        positions.clear();
        surveyed.clear();
        phase = Phase.SURVEYING;
        phaseUntil = now + (planned ? FailoverSettings.HAND_OVER : FailoverSettings.SURVEY);
        suspended = syncReplicas > 0;
        replicas.forEach(r -> surveyed.add(r.id()));
        List<FailoverAction> actions = new ArrayList<>();
        // A primary that some can still reach must not acknowledge what the next one lacks.
        primary.forEach(p -> actions.add(new FailoverAction.StepDown(p)));
        actions.addAll(surveys(replicas, now));
        return actions;
    }

    private List<FailoverAction> surveys(List<ServerRecord> replicas, long now) {
        surveyAgainAt = now + FailoverSettings.RESURVEY;
        return replicas.stream()
                .map(r -> (FailoverAction) new FailoverAction.Survey(r, suspended))
                .toList();
    }

    /** Notes the last position of the primary that is being replaced. */
    void steppedDown(String server, Position position) {
        if (phase == Phase.SURVEYING && server.equals(replaced)) {
            lastCommit = Option.some(position);
        }
    }

    private String reasonToPromote(DirectoryState state, Option<ServerRecord> primary, long now) {
        if (primary.isEmpty()) {
            return withoutPrimary(state, now) ? "the group has no primary" : "";
        }
        primarylessSince = Option.none();
        if (primary.get().state() == ServerState.DRAINING) {
            return "the primary " + primary.get().id() + " leaves";
        }
        return evidence.loss(state.proxies(), now);
    }

    /** At a start, replicas may announce themselves before the primary does. */
    private boolean withoutPrimary(DirectoryState state, long now) {
        if (state.members(group).size() < 2) {
            return false;
        }
        if (primarylessSince.isEmpty()) {
            primarylessSince = Option.some(now);
        }
        return now - primarylessSince.get() >= FailoverSettings.PRIMARYLESS;
    }

    private List<ServerRecord> replicas(DirectoryState state, Option<ServerRecord> primary) {
        String id = primary.map(ServerRecord::id).getOrElse("");
        return state.members(group).stream()
                .filter(s -> s.state() == ServerState.READY && !s.id().equals(id))
                .filter(s -> !rejected.contains(s.id()))
                .toList();
    }

    /** Notes the position of a replica; it counts only in the survey that asked for it. */
    void surveyed(String server, Position position) {
        if (phase == Phase.SURVEYING && surveyed.contains(server)) {
            positions.put(server, position);
        }
    }

    private List<FailoverAction> survey(DirectoryState state, int syncReplicas, long now) {
        boolean complete = positions.size() == surveyed.size();
        boolean late = now - phaseUntil >= 0;
        if (planned && !late && !handedOver()) {
            return complete && now - surveyAgainAt >= 0
                    ? surveys(
                            state.members(group).stream()
                                    .filter(s -> surveyed.contains(s.id()))
                                    .toList(),
                            now)
                    : List.of();
        }
        if (!planned && !complete && !late) {
            return List.of();
        }
        // A commit was acknowledged by one replica at least, so every replica must be heard.
        boolean enough = syncReplicas == 0 ? !positions.isEmpty() : complete;
        Option<String> best = Option.none();
        for (Map.Entry<String, Position> entry : positions.entrySet()) {
            boolean better =
                    best.isEmpty() || entry.getValue().compareTo(positions.get(best.get())) > 0;
            if (better) {
                best = Option.some(entry.getKey());
            }
        }
        phase = Phase.WATCHING;
        phaseUntil = now + FailoverSettings.CALL_BACKOFF;
        if (!enough || best.isEmpty()) {
            return resume(state);
        }
        candidate = best.get();
        phase = Phase.ORDERING;
        phaseUntil = now + FailoverSettings.CALL_RETRY;
        return List.of(
                new FailoverAction.Order(
                        group,
                        candidate,
                        reason
                                + "; last position "
                                + lastCommit.getOrNull()
                                + "; replica positions "
                                + positions));
    }

    /** Returns whether a replica has received everything that the leaving primary committed. */
    private boolean handedOver() {
        return lastCommit.exists(
                last -> positions.values().stream().anyMatch(p -> p.compareTo(last) >= 0));
    }

    private List<FailoverAction> resume(DirectoryState state) {
        if (!suspended) {
            return List.of();
        }
        suspended = false;
        return state.members(group).stream()
                .filter(s -> surveyed.contains(s.id()))
                .map(s -> (FailoverAction) new FailoverAction.Resume(s))
                .toList();
    }

    /** The order is committed; the call follows at once. */
    List<FailoverAction> ordered(String server, long fencingToken, long now) {
        phase = Phase.CALLING;
        candidate = server;
        token = fencingToken;
        calls = 0;
        phaseUntil = now;
        return call(now);
    }

    /** A call without an answer may have been carried out; proxies then work with a leader. */
    private List<FailoverAction> callAgain(DirectoryState state, long now) {
        if (calls > 0 && evidence.served(state.proxies(), now)) {
            phase = Phase.SETTLING;
            phaseUntil = now + FailoverSettings.SETTLE;
            return List.of();
        }
        return call(now);
    }

    private List<FailoverAction> call(long now) {
        if (now - phaseUntil < 0) {
            return List.of();
        }
        if (calls >= FailoverSettings.CALLS) {
            rejected.add(candidate);
            phase = Phase.WATCHING;
            return List.of();
        }
        calls++;
        phaseUntil = now + FailoverSettings.CALL_RETRY;
        return List.of(new FailoverAction.Call(group, candidate, token));
    }

    /** Notes the platform's answer to a call. */
    void answered(long calledToken, CallOutcome outcome, long now) {
        if (phase != Phase.CALLING || calledToken != token) {
            return;
        }
        switch (outcome) {
            case ACCEPTED -> {
                phase = Phase.SETTLING;
                phaseUntil = now + FailoverSettings.SETTLE;
                evidence.clear();
            }
            case REJECTED -> {
                rejected.add(candidate);
                phase = Phase.WATCHING;
                phaseUntil = now + FailoverSettings.CALL_BACKOFF;
            }
            case UNKNOWN -> phaseUntil = now + FailoverSettings.CALL_BACKOFF;
        }
    }

    String describe() {
        return group
                + " "
                + phase
                + " candidate="
                + candidate
                + " token="
                + token
                + " replaced="
                + replaced
                + " reason="
                + reason;
    }
}
