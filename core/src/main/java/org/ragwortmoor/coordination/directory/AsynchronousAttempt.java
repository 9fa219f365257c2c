package org.ragwortmoor.coordination.directory;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.ServerRecord;

/**
 * Replaces a primary whose commits are acknowledged before replicas have received them: the most
 * advanced of the servers that answer in time is promoted.
 */
final class AsynchronousAttempt implements FailoverAttempt {
    private final ReplacedPrimary replaced;
    private final GroupSurvey survey = new GroupSurvey();
    private final long deadline;
    private boolean started;
    private long nextSurveyAt;

    AsynchronousAttempt(ReplacedPrimary replaced, long now) {
        this.replaced = replaced;
        this.nextSurveyAt = now;
        this.deadline =
                now
                        + (replaced.leaves()
                                ? FailoverSettings.HANDOVER_TIMEOUT_NANOS
                                : FailoverSettings.SURVEY_TIMEOUT_NANOS);
    }

    @Override
    public Result tick(FailoverView view, long now) {
        if (!started) {
            started = true;
            return new Result.Pending(repeat(view, now));
        }
        List<ServerRecord> asked = view.members().surveyed(0);
        Option<ServerRecord> leader = survey.primary(asked);
        if (leader.isDefined() && !view.leases().required()) {
            return new Result.Leads(leader.get());
        }
        boolean timedOut = now - deadline >= 0;
        boolean complete = survey.unanswered(asked).isEmpty();
        boolean sufficient = replaced.leaves() ? handoverComplete(asked) : complete;
        if (!sufficient && !timedOut) {
            return new Result.Pending(
                    replaced.leaves() && complete ? repeat(view, now) : List.of());
        }
        if (replaced.reachableAgain(view, now)) {
            return new Result.Abandon();
        }
        if (replaced.mayBeInUse(view, now)) {
            return new Result.Pending(repeat(view, now));
        }
        return PromotionChoice.of(view.members(), survey, Position.ZERO, Option.none())
                .map(best -> (Result) new Result.Promote(best, describe(view)))
                .getOrElse(new Result.Abandon());
    }

    /** Returns whether a replica has received every commit of the primary that leaves. */
    private boolean handoverComplete(List<ServerRecord> asked) {
        return replaced.steppedDownAt()
                .exists(last -> asked.stream().anyMatch(s -> survey.reached(s, last)));
    }

    private String describe(FailoverView view) {
        return "last position "
                + replaced.steppedDownAt().getOrNull()
                + "; replica positions "
                + survey.describe(view.members().servers());
    }

    @Override
    public List<FailoverAction> repeat(FailoverView view, long now) {
        // A primary that is still reachable for some proxies must not acknowledge commits that its
        // successor lacks.
        List<FailoverAction> actions = new ArrayList<>();
        if (now - nextSurveyAt >= 0) {
            nextSurveyAt =
                    now
                            + (replaced.leaves()
                                    ? FailoverSettings.HANDOVER_SURVEY_INTERVAL_NANOS
                                    : FailoverSettings.SURVEY_INTERVAL_NANOS);
            actions.addAll(replaced.stepDown(now));
            view.members().surveyed(0).forEach(s -> actions.add(new FailoverAction.Survey(s)));
        }
        return actions;
    }

    @Override
    public boolean suspends() {
        return false;
    }

    @Override
    public void recordStatus(ServerRecord server, ServerStatus status) {
        survey.record(server, status);
    }

    @Override
    public void recordStepDown(ServerRecord server, Position position) {
        replaced.recordStepDown(position);
        survey.record(server, new ServerStatus(false, position.term(), position, 0));
    }
}
