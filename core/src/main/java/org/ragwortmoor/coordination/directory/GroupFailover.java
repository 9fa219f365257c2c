package org.ragwortmoor.coordination.directory;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.directory.Promotion;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerState;
import org.ragwortmoor.state.routes.GroupLimits;

/**
 * Failover of one group: decides when a server has to be promoted, orders the promotion of the
 * server that a {@link FailoverAttempt} has found, and calls the platform until the promotion is
 * accepted, rejected or given up.
 */
final class GroupFailover {
    private enum Phase {
        WATCHING,
        ATTEMPTING,
        ORDERING,
        CALLING,
        SETTLING
    }

    private final String group;
    private final PrimaryLeaseTable leases;
    private final PrimaryFailureDetector failureDetector = new PrimaryFailureDetector();
    private final PromotionTrigger trigger = new PromotionTrigger();
    private final PromotionCall call = new PromotionCall();
    private final ReplicationSuspension suspension;
    private final PrimaryConfirmation confirmation = new PrimaryConfirmation();
    private final Set<String> rejectedServers = new HashSet<>();
    private Phase phase = Phase.WATCHING;
    private long phaseDeadline;
    private String reason = "";
    private ReplacedPrimary replaced = new ReplacedPrimary(Option.none(), 0);
    private FailoverAttempt attempt = new AsynchronousAttempt(replaced, 0);
    private String orderedServer = "";
    private int attemptedSyncReplicas;
    private long nextReportAt;
    private long nextSettlingSurveyAt;
    private boolean newlyElected;
    private FailoverView view;

    GroupFailover(String group, PrimaryLeaseTable leases) {
        this.group = group;
        this.leases = leases;
        this.suspension = new ReplicationSuspension(group);
        this.view = view(DirectoryState.EMPTY, 0, 0, 0);
    }

    PrimaryFailureDetector failureDetector() {
        return failureDetector;
    }

    /** Discards the state of an earlier leadership. */
    void reset(long now) {
        failureDetector.clear();
        trigger.reset(now);
        rejectedServers.clear();
        suspension.reset(now);
        confirmation.reset(now);
        call.reset();
        newlyElected = true;
        nextReportAt = now;
        phase = Phase.WATCHING;
        // Without fencing by the platform, an earlier leader's call must not arrive after ours.
        phaseDeadline = leases.required() ? now + FailoverSettings.PREDECESSOR_CALL_NANOS : now;
    }

    /** Advances the failover and returns the actions that are due. */
    List<FailoverAction> tick(DirectoryState state, GroupLimits limits, long now) {
        view = view(state, limits.syncReplicas(), FailoverView.observers(state, limits), now);
        if (newlyElected) {
            newlyElected = false;
            view.unconfirmedOrder()
                    .filter(p -> !leases.required() && view.exclusiveCalls())
                    .forEach(p -> call.inherit(p, now));
        }
        call.forgetEnded(state);
        List<FailoverAction> actions = new ArrayList<>(advance(now));
        if (view.replication().suspended()) {
            boolean promotes =
                    phase == Phase.ORDERING
                            || phase == Phase.CALLING
                            || phase == Phase.SETTLING
                            || call.delayedCallPossible(now);
            List<ServerRecord> servers = view.members().servers();
            actions.addAll(promotes ? suspension.keep(servers, now) : List.of());
            // What ends a suspension must not arrive after an attempt has begun the next one.
            boolean mayResume = phase != Phase.ATTEMPTING || attemptedSyncReplicas == 0;
            actions.addAll(mayResume ? suspension.tick(servers, now) : List.of());
        }
        return actions;
    }

    private FailoverView view(DirectoryState state, int syncReplicas, int observers, long now) {
        return new FailoverView(
                group,
                state,
                GroupMembers.of(state, group, replaced.server(), rejectedServers),
                syncReplicas,
                observers,
                leases,
                failureDetector,
                call.delayedServer(now));
    }

    private List<FailoverAction> advance(long now) {
        return switch (phase) {
            case WATCHING -> watch(now);
            case ATTEMPTING -> advanceAttempt(now);
            case ORDERING -> {
                phase = now - phaseDeadline >= 0 ? Phase.WATCHING : Phase.ORDERING;
                yield List.of();
            }
            case CALLING -> retryCall(now);
            case SETTLING -> settle(now);
        };
    }

    private List<FailoverAction> watch(long now) {
        boolean leaseUnconfirmed = leases.required() && view.unconfirmedOrder().isDefined();
        if (leaseUnconfirmed) {
            leases.withhold(group);
        } else {
            leases.resume(group);
        }
        if (now - phaseDeadline < 0) {
            return List.of();
        }
        Option<ServerRecord> primary = view.state().primary(group);
        if (leaseUnconfirmed && mayPromoteAgain(primary, now)) {
            // An earlier leader may have ended before its call; only the call shows the outcome.
            reason = "the promotion is not confirmed";
            return order(primary.get().id(), now);
        }
        // The server of an order that may not have been carried out is a replica like the others.
        replaced =
                new ReplacedPrimary(
                        primary.filter(p -> leases.required() || view.unconfirmedOrder().isEmpty()),
                        now);
        view = view(view.state(), view.syncReplicas(), view.observers(), now);
        boolean hasCandidate = view.members().hasCandidate();
        if (!hasCandidate) {
            // A server that was rejected may have recovered since.
            rejectedServers.clear();
        }
        reason = trigger.reason(view, rejectedServers, suspension.releasing(), now);
        if (reason.isEmpty()) {
            Option<Promotion> carriedOut = confirmation.carriedOut(view, now);
            return carriedOut.isDefined()
                    ? confirm(carriedOut.get(), now)
                    : confirmation.tick(view, now);
        }
        if (view.syncReplicas() > 0 && !suspension.quiet(now)) {
            return List.of();
        }
        return hasCandidate || view.replication().suspended() ? startAttempt(now) : List.of();
    }

    private boolean mayPromoteAgain(Option<ServerRecord> primary, long now) {
        return primary.exists(
                        p -> p.state() == ServerState.READY && !rejectedServers.contains(p.id()))
                && failureDetector.failureReason(view.observers(), now).isEmpty();
    }

    private List<FailoverAction> startAttempt(long now) {
        leases.withhold(group);
        phase = Phase.ATTEMPTING;
        attemptedSyncReplicas = view.syncReplicas();
        attempt =
                attemptedSyncReplicas > 0
                        ? new SynchronousAttempt(replaced, now)
                        : new AsynchronousAttempt(replaced, now);
        List<FailoverAction> actions = new ArrayList<>();
        if (leases.required() && !replaced.leaves()) {
            actions.add(new FailoverAction.AnnounceWithheldLeases(group));
        }
        actions.addAll(advanceAttempt(now));
        return actions;
    }

    private List<FailoverAction> advanceAttempt(long now) {
        if (view.syncReplicas() != attemptedSyncReplicas) {
            return endAttempt(FailoverSettings.CALL_BACKOFF_NANOS, now);
        }
        FailoverAttempt.Result result = attempt.tick(view, now);
        if (result instanceof FailoverAttempt.Result.Pending pending) {
            if (view.replication().suspended() && attempt.suspends()) {
                suspension.hold();
            }
            return pending.actions();
        }
        if (result instanceof FailoverAttempt.Result.Promote promotion) {
            return promote(promotion, now);
        }
        if (result instanceof FailoverAttempt.Result.Leads leader) {
            return adopt(leader.server(), now);
        }
        if (result instanceof FailoverAttempt.Result.Blocked blocked) {
            List<FailoverAction> actions =
                    new ArrayList<>(endAttempt(FailoverSettings.BLOCKED_BACKOFF_NANOS, now));
            if (now - nextReportAt >= 0) {
                nextReportAt = now + FailoverSettings.BLOCKED_REPORT_NANOS;
                actions.add(new FailoverAction.ReportBlocked(group, blocked.reason()));
            }
            return actions;
        }
        return endAttempt(FailoverSettings.CALL_BACKOFF_NANOS, now);
    }

    /** Ends an attempt without a promotion, and releases the suspension if none can follow. */
    private List<FailoverAction> endAttempt(long backoffNanos, long now) {
        if (!call.delayedCallPossible(now)) {
            suspension.release(now);
        }
        return enter(Phase.WATCHING, now + backoffNanos);
    }

    private List<FailoverAction> promote(FailoverAttempt.Result.Promote promotion, long now) {
        ServerRecord server = promotion.server();
        // A delayed call would replace the server promoted now.
        if (view.exclusiveCalls() && call.delayedCallPossible(server.id(), now)) {
            return attempt.repeat(view, now);
        }
        reason += "; " + promotion.positions();
        return order(server.id(), now);
    }

    /** Lets the directory follow a server that leads the group already. */
    private List<FailoverAction> adopt(ServerRecord server, long now) {
        if (view.exclusiveCalls() && call.delayedCallPossible(server.id(), now)) {
            return enter(Phase.WATCHING, now + FailoverSettings.CALL_BACKOFF_NANOS);
        }
        Option<Promotion> newest = view.state().promotions().get(group);
        boolean ordered = newest.exists(p -> p.server().equals(server.id()));
        boolean named = view.state().primary(group).exists(p -> p.id().equals(server.id()));
        if (!ordered && !(newest.isEmpty() && named)) {
            reason += "; " + server.id() + " leads the group already";
            return order(server.id(), now);
        }
        enter(Phase.WATCHING, now + FailoverSettings.CALL_BACKOFF_NANOS);
        suspension.release(now);
        return view.unconfirmedOrder().map(p -> confirm(p, now)).getOrElse(List.of());
    }

    /**
     * Confirms a promotion that was carried out. If a call for it was not answered, it is ordered
     * once more before, so that the platform rejects that call if it is delayed.
     */
    private List<FailoverAction> confirm(Promotion promotion, long now) {
        if (view.exclusiveCalls() && call.delayedCallPossible(now)) {
            reason = "a call was not answered";
            return order(promotion.server(), now);
        }
        return List.of(new FailoverAction.ConfirmPromotion(group, promotion.token()));
    }

    private List<FailoverAction> enter(Phase next, long deadline) {
        phase = next;
        phaseDeadline = deadline;
        return List.of();
    }

    private List<FailoverAction> order(String server, long now) {
        enter(Phase.ORDERING, now + FailoverSettings.CALL_RETRY_NANOS);
        orderedServer = server;
        return List.of(new FailoverAction.OrderPromotion(group, server, reason));
    }

    /** Starts the calls to the platform once the order is committed. */
    List<FailoverAction> orderCommitted(String server, long fencingToken, long now) {
        boolean awaited = phase == Phase.ORDERING && server.equals(orderedServer);
        if (view.exclusiveCalls() && !leases.required() && !awaited) {
            // Commits may have been acknowledged since the server was chosen.
            return List.of();
        }
        phase = Phase.CALLING;
        // Reports from before the order do not show that the promotion was carried out.
        failureDetector.clear();
        call.start(server, fencingToken, now);
        return callIfDue(now);
    }

    /**
     * Repeats the call, unless the proxies reach a leader again: an unanswered call may have been
     * carried out. Under leases the proxies reach no leader before the promotion is confirmed.
     */
    private List<FailoverAction> retryCall(long now) {
        boolean leaderFound = !leases.required() && view.majorityReachesLeader(now);
        if (call.calls() > 0 && leaderFound) {
            return view.exclusiveCalls()
                    ? enter(Phase.WATCHING, now + FailoverSettings.CALL_RETRY_NANOS)
                    : enter(Phase.SETTLING, now + FailoverSettings.SETTLING_NANOS);
        }
        return callIfDue(now);
    }

    private List<FailoverAction> callIfDue(long now) {
        if (!call.due(now)) {
            return List.of();
        }
        // Exclusive calls are never given up, since an unanswered one may still be carried out.
        if (!view.exclusiveCalls() && call.calls() >= FailoverSettings.MAX_CALLS_PER_ORDER) {
            rejectedServers.add(call.server());
            return enter(Phase.WATCHING, now);
        }
        return List.of(call.next(group, now));
    }

    /** Records the platform's answer to a call and returns the actions that follow from it. */
    List<FailoverAction> recordCallOutcome(long calledToken, CallOutcome outcome, long now) {
        if (calledToken != call.token()) {
            return List.of();
        }
        if (outcome == CallOutcome.UNKNOWN) {
            call.recordUnanswered(now);
            return List.of();
        }
        if (outcome == CallOutcome.ACCEPTED) {
            call.recordAccepted(!leases.required());
            enter(Phase.SETTLING, now + FailoverSettings.SETTLING_NANOS);
            nextSettlingSurveyAt = now;
            failureDetector.clear();
            leases.resume(group);
            boolean delayed = view.exclusiveCalls() && call.delayedCallPossible(now);
            return delayed && !leases.required()
                    ? List.of()
                    : List.of(new FailoverAction.ConfirmPromotion(group, calledToken));
        }
        call.recordRejected();
        if (phase == Phase.CALLING) {
            rejectedServers.add(call.server());
            enter(Phase.WATCHING, now + FailoverSettings.CALL_BACKOFF_NANOS);
        }
        return List.of();
    }

    /** Waits until the promotion is carried out; replicas are suspended until then. */
    private List<FailoverAction> settle(long now) {
        if (now - phaseDeadline >= 0) {
            phase = Phase.WATCHING;
            rejectedServers.clear();
            return List.of();
        }
        boolean held = view.replication().suspended() && !suspension.releasing();
        if (!held || now - nextSettlingSurveyAt < 0) {
            return List.of();
        }
        nextSettlingSurveyAt = now + FailoverSettings.SURVEY_INTERVAL_NANOS;
        return view.members().servers().stream()
                .filter(s -> s.id().equals(call.server()))
                .map(s -> (FailoverAction) new FailoverAction.Survey(s))
                .toList();
    }

    /** Records the status of a server that was asked or instructed. */
    void recordStatus(ServerRecord server, ServerStatus status, long now) {
        suspension.record(server, status);
        switch (phase) {
            case WATCHING -> confirmation.record(server, status);
            case ATTEMPTING -> attempt.recordStatus(server, status);
            case SETTLING -> {
                if (status.primary() && server.id().equals(call.server())) {
                    suspension.release(now);
                }
            }
            default -> {
                // The status was asked for before the order; the choice is made.
            }
        }
    }

    /** Records the last position of the primary that is being replaced and has stepped down. */
    void recordStepDown(String server, Position position) {
        if (phase == Phase.ATTEMPTING && replaced.is(server)) {
            attempt.recordStepDown(replaced.server().get(), position);
        }
    }

    /** Returns the state as one line of the state dump. */
    String describe(long now) {
        return String.join(
                " ",
                group,
                phase.name(),
                "candidate=" + call.server(),
                "token=" + call.token(),
                "replaced=" + replaced.server().map(ServerRecord::id).getOrElse(""),
                "replication=" + view.replication(),
                "leases=" + leases.holders(group, now),
                "reason=" + reason);
    }
}
