package org.ragwortmoor.coordination.directory;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.ServerRecord;

/**
 * Replaces a primary whose commits are acknowledged once replicas have received them.
 *
 * <p>A first survey disturbs nothing; it shows whether enough servers answer and, if the primary
 * leaves, whether a replica receives its commits. Then the primary steps down and the replicas are
 * suspended, and a server is promoted whose position includes every acknowledged commit.
 */
final class SynchronousAttempt implements FailoverAttempt {
    private enum Step {
        INSPECT,
        RECORD,
        HAND_OVER,
        SUSPEND
    }

    private final ReplacedPrimary replaced;
    private final GroupSurvey survey = new GroupSurvey();
    private final GroupSurvey suspended = new GroupSurvey();
    private Step step = Step.INSPECT;
    private Option<Position> handoverFrom = Option.none();
    private List<ServerRecord> answered = List.of();
    private long stepDeadline;
    private long nextSurveyAt;

    SynchronousAttempt(ReplacedPrimary replaced, long now) {
        this.replaced = replaced;
        this.nextSurveyAt = now;
        this.stepDeadline =
                now
                        + (replaced.leaves()
                                ? FailoverSettings.HANDOVER_TIMEOUT_NANOS
                                : FailoverSettings.SURVEY_TIMEOUT_NANOS);
    }

    @Override
    public Result tick(FailoverView view, long now) {
        Option<ServerRecord> leader =
                survey.primary(view.members().servers()).filter(s -> !replaced.is(s.id()));
        if (leader.isDefined() && !view.leases().required()) {
            return new Result.Leads(leader.get());
        }
        return switch (step) {
            case INSPECT -> inspect(view, now);
            case RECORD -> awaitRecord(view, now);
            case HAND_OVER -> handOver(view, now);
            case SUSPEND -> suspend(view, now);
        };
    }

    private boolean timedOut(long now) {
        return now - stepDeadline >= 0;
    }

    private Result inspect(FailoverView view, long now) {
        List<ServerRecord> servers = view.members().servers();
        boolean complete =
                replaced.leaves()
                        ? receivesCommits(view)
                        : survey.unanswered(view.members().surveyed(view.syncReplicas())).isEmpty()
                                && !survey.answered(servers).isEmpty();
        if (!complete && !timedOut(now)) {
            return new Result.Pending(repeat(view, now));
        }
        if (replaced.reachableAgain(view, now)) {
            return new Result.Abandon();
        }
        boolean primaryAnswers = replaced.server().exists(s -> survey.status(s).isDefined());
        if (replaced.leaves() && !complete && primaryAnswers) {
            // The primary goes on until a replica receives its commits.
            return new Result.Blocked("no replica receives the commits of the primary that leaves");
        }
        answered = survey.answered(servers);
        int missing = view.members().holders(survey.positions(servers)) - answered.size();
        if (missing > view.syncReplicas()) {
            return new Result.Blocked(
                    "commits may be held only by servers that do not answer; positions "
                            + survey.describe(servers));
        }
        step = Step.RECORD;
        stepDeadline = now + FailoverSettings.RECORD_RETRY_NANOS;
        return view.replication().suspended()
                ? awaitRecord(view, now)
                : new Result.Pending(
                        List.of(new FailoverAction.RecordSuspension(view.group(), true)));
    }

    /** Returns whether a replica has received what the primary had when it was first asked. */
    private boolean receivesCommits(FailoverView view) {
        if (handoverFrom.isEmpty()) {
            handoverFrom = replaced.server().flatMap(survey::status).map(ServerStatus::received);
        }
        return handoverFrom.exists(position -> reachedByReplica(view, position));
    }

    private boolean reachedByReplica(FailoverView view, Position position) {
        return view.members().members().stream()
                .filter(m -> m.standing() == ServerStanding.READY_REPLICA)
                .anyMatch(m -> survey.reached(m.server(), position));
    }

    private Result awaitRecord(FailoverView view, long now) {
        if (!view.replication().suspended()) {
            return timedOut(now) ? new Result.Abandon() : new Result.Pending(List.of());
        }
        nextSurveyAt = now;
        if (replaced.leaves()) {
            step = Step.HAND_OVER;
            stepDeadline = now + FailoverSettings.HANDOVER_TIMEOUT_NANOS;
            return handOver(view, now);
        }
        return startSuspension(view, now);
    }

    /** Waits until a replica has received the last commits of the primary that leaves. */
    private Result handOver(FailoverView view, long now) {
        boolean complete = replaced.steppedDownAt().exists(last -> reachedByReplica(view, last));
        if (complete || timedOut(now)) {
            return startSuspension(view, now);
        }
        List<FailoverAction> actions = new ArrayList<>(replaced.stepDown(now));
        actions.addAll(repeat(view, now));
        return new Result.Pending(actions);
    }

    private Result startSuspension(FailoverView view, long now) {
        step = Step.SUSPEND;
        stepDeadline = now + FailoverSettings.SURVEY_TIMEOUT_NANOS;
        nextSurveyAt = now;
        return suspend(view, now);
    }

    private Result suspend(FailoverView view, long now) {
        List<ServerRecord> servers = view.members().servers();
        boolean complete =
                answered.stream().allMatch(s -> suspended.status(s).isDefined())
                        && !suspended.answered(servers).isEmpty();
        if (!complete && !timedOut(now)) {
            return instruct(view, now);
        }
        if (replaced.reachableAgain(view, now)) {
            return new Result.Abandon();
        }
        if (replaced.mayBeInUse(view, now)) {
            return instruct(view, now);
        }
        Option<Position> bound =
                AcknowledgedBound.of(
                        List.copyOf(suspended.positions(servers).values()),
                        view.members().holders(suspended.positions(servers)),
                        view.syncReplicas(),
                        replaced.steppedDownAt());
        // Another server could only be promoted once the delayed call cannot be carried out.
        return bound.flatMap(
                        b -> PromotionChoice.of(view.members(), suspended, b, view.delayedServer()))
                .map(
                        best ->
                                (Result)
                                        new Result.Promote(
                                                best,
                                                "required position "
                                                        + bound.get()
                                                        + "; positions "
                                                        + suspended.describe(servers)))
                .getOrElse(new Result.Abandon());
    }

    private Result instruct(FailoverView view, long now) {
        List<FailoverAction> actions = new ArrayList<>(replaced.stepDown(now));
        if (now - nextSurveyAt >= 0) {
            nextSurveyAt = now + FailoverSettings.SUSPENSION_INTERVAL_NANOS;
            long highestTerm = survey.highestTerm(view.members().servers());
            for (ServerRecord server : suspended.unanswered(view.members().suspended())) {
                boolean leads = replaced.is(server.id()) && replaced.steppedDownAt().isEmpty();
                if (!leads) {
                    actions.add(ReplicationSuspension.suspend(server, highestTerm));
                }
            }
        }
        return new Result.Pending(actions);
    }

    @Override
    public List<FailoverAction> repeat(FailoverView view, long now) {
        if (now - nextSurveyAt < 0) {
            return List.of();
        }
        nextSurveyAt =
                now
                        + (replaced.leaves()
                                ? FailoverSettings.HANDOVER_SURVEY_INTERVAL_NANOS
                                : FailoverSettings.SURVEY_INTERVAL_NANOS);
        return view.members().servers().stream()
                .map(s -> (FailoverAction) new FailoverAction.Survey(s))
                .toList();
    }

    @Override
    public boolean suspends() {
        return step == Step.HAND_OVER || step == Step.SUSPEND;
    }

    @Override
    public void recordStatus(ServerRecord server, ServerStatus status) {
        survey.record(server, status);
        // A suspension that is not above the highest term stops no primary of that term.
        suspended.discardSuspendedBelow(status.term());
        if (step == Step.SUSPEND && status.suspended()) {
            suspended.record(server, status);
        } else {
            // A promotion or a restart ends a suspension.
            suspended.discard(server);
        }
    }

    @Override
    public void recordStepDown(ServerRecord server, Position position) {
        replaced.recordStepDown(position);
    }
}
