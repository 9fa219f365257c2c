package org.ragwortmoor.coordination.control;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortmoor.coordination.control.ControlCommand.OperatorCommand;
import org.ragwortmoor.coordination.control.OperatorAnswer.Kind;

/** Converts operator requests into commands and answers them after the commands were committed. */
final class OperatorRequestHandler {
    /**
     * Time after which an undecided request is answered with {@code UNKNOWN}. Commits normally take
     * milliseconds.
     */
    static final long ANSWER_TIMEOUT_NANOS = 5_000_000_000L;

    private final RuleFileChecker checker;
    private final RuleActivation activation;
    private final Outbox out;
    private final Map<String, PendingRequest> pending = new LinkedHashMap<>();

    private record PendingRequest(OperatorCommand command, long deadline) {}

    OperatorRequestHandler(RuleFileChecker checker, RuleActivation activation, Outbox out) {
        this.checker = checker;
        this.activation = activation;
        this.out = out;
    }

    void refuseNotReady(OperatorRequest request) {
        answer(
                request.operation().id(),
                Kind.NOT_READY,
                CommandResult.refused(
                        "this control process cannot decide now;"
                                + " resend to the leader with the same operation id"),
                List.of());
    }

    void request(OperatorRequest request, ControlState state, long now) {
        Either<List<String>, OperatorCommand> command = toCommand(request, state);
        String id = request.operation().id();
        if (command.isLeft()) {
            String errors = String.join("\n", command.getLeft());
            answer(id, Kind.INVALID, CommandResult.refused(errors), List.of());
            return;
        }
        Option<CommandResult> recorded = OperatorTransitions.recorded(state, command.get());
        if (recorded.isDefined()) {
            answerDecided(id, recorded.get(), state);
            return;
        }
        PendingRequest previous = pending.get(id);
        if (previous != null
                && !OperatorTransitions.sameRequest(previous.command(), command.get())) {
            answer(
                    id,
                    Kind.INVALID,
                    CommandResult.refused("operation id " + id + " is in use; choose a new one"),
                    List.of());
            return;
        }
        pending.put(id, new PendingRequest(command.get(), now + ANSWER_TIMEOUT_NANOS));
        out.add(new ControlAction.Propose(command.get()));
    }

    void committed(OperatorCommand command, CommandResult result, ControlState state) {
        if (pending.remove(command.operationId()) != null) {
            answerDecided(command.operationId(), result, state);
        }
    }

    void expire(long now) {
        List<String> expired = new ArrayList<>();
        pending.forEach(
                (id, request) -> {
                    if (now >= request.deadline()) {
                        expired.add(id);
                    }
                });
        expired.forEach(this::answerUnknown);
    }

    void lostLeadership() {
        List.copyOf(pending.keySet()).forEach(this::answerUnknown);
    }

    private void answerUnknown(String id) {
        pending.remove(id);
        answer(
                id,
                Kind.UNKNOWN,
                CommandResult.refused(
                        "the outcome is not known yet; resend with the same operation id"),
                List.of());
    }

    private void answerDecided(String id, CommandResult result, ControlState state) {
        boolean isPending =
                result.outcome() == CommandResult.Outcome.PENDING
                        && state.rules().pending().exists(p -> p.version() == result.value());
        answer(id, Kind.DECIDED, result, isPending ? activation.waitingFor(state) : List.of());
    }

    private void answer(String id, Kind kind, CommandResult result, List<String> waitingFor) {
        out.add(new ControlAction.AnswerOperator(new OperatorAnswer(id, kind, result, waitingFor)));
    }

    private Either<List<String>, OperatorCommand> toCommand(
            OperatorRequest request, ControlState state) {
        OperatorRequest.Operation operation = request.operation();
        if (request instanceof OperatorRequest.Apply r) {
            return checker.check(r.text()).map(summary -> toRulesCommand(r, summary, state));
        }
        if (request instanceof OperatorRequest.Withdraw r) {
            return Either.right(
                    new ControlCommand.WithdrawRules(
                            operation.id(),
                            r.version(),
                            operation.operator(),
                            operation.timeMillis()));
        }
        if (request instanceof OperatorRequest.Drain r) {
            return Either.right(
                    new ControlCommand.DrainEndpoint(
                            operation.id(),
                            r.group(),
                            r.endpoint(),
                            r.drained(),
                            operation.operator(),
                            operation.timeMillis()));
        }
        if (request instanceof OperatorRequest.RemoveMember r) {
            return Either.right(
                    new ControlCommand.RemoveProxy(
                            operation.id(),
                            r.proxy(),
                            operation.operator(),
                            operation.timeMillis()));
        }
        if (request instanceof OperatorRequest.Replace r) {
            return Either.right(
                    new ControlCommand.ReplaceEndpoint(
                            operation.id(),
                            r.group(),
                            r.replaced(),
                            r.info(),
                            operation.operator(),
                            operation.timeMillis()));
        }
        if (request instanceof OperatorRequest.AddKey r) {
            return Either.right(
                    new ControlCommand.AddTokenKey(
                            operation.id(), r.key(), operation.operator(), operation.timeMillis()));
        }
        throw new IllegalArgumentException(
                "unsupported request type: " + request.getClass().getName());
    }

    private static OperatorCommand toRulesCommand(
            OperatorRequest.Apply request, RuleFileSummary summary, ControlState state) {
        OperatorRequest.Operation operation = request.operation();
        if (RuleScope.widens(RuleTransitions.scopes(state.rules()), summary.scopes())) {
            return new ControlCommand.PrepareRules(
                    operation.id(),
                    request.expectedVersion(),
                    request.text(),
                    summary.scopes(),
                    operation.operator(),
                    operation.timeMillis());
        }
        return new ControlCommand.ApplyRules(
                operation.id(),
                request.expectedVersion(),
                request.text(),
                summary.scopes(),
                operation.operator(),
                operation.timeMillis());
    }
}
