package org.ragwortmoor.coordination.control;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortmoor.coordination.control.ControlCommand.OperatorCommand;
import org.ragwortmoor.coordination.control.OperatorAnswer.Kind;

/** Turns requests of operators into commands and answers them once these are committed. */
final class OperatorDesk {
    /** A request that is not decided by then is answered "unknown"; commits take milliseconds. */
    static final long ANSWER_NANOS = 5_000_000_000L;

    private final RuleFileChecker checker;
    private final RuleActivation activation;
    private final Outbox out;
    private final Map<String, Waiting> waiting = new LinkedHashMap<>();

    private record Waiting(OperatorCommand command, long deadline) {}

    OperatorDesk(RuleFileChecker checker, RuleActivation activation, Outbox out) {
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
        Either<List<String>, OperatorCommand> command = command(request, state);
        String id = request.operation().id();
        if (command.isLeft()) {
            String errors = String.join("\n", command.getLeft());
            answer(id, Kind.INVALID, CommandResult.refused(errors), List.of());
            return;
        }
        Option<CommandResult> recorded = OperatorTransitions.recorded(state, command.get());
        if (recorded.isDefined()) {
            decided(id, recorded.get(), state);
            return;
        }
        Waiting before = waiting.get(id);
        if (before != null && !OperatorTransitions.sameRequest(before.command(), command.get())) {
            answer(
                    id,
                    Kind.INVALID,
                    CommandResult.refused("operation id " + id + " is in use; choose a new one"),
                    List.of());
            return;
        }
        waiting.put(id, new Waiting(command.get(), now + ANSWER_NANOS));
        out.add(new ControlAction.Propose(command.get()));
    }

    void committed(OperatorCommand command, CommandResult result, ControlState state) {
        if (waiting.remove(command.operationId()) != null) {
            decided(command.operationId(), result, state);
        }
    }

    void expire(long now) {
        List<String> overdue = new ArrayList<>();
        waiting.forEach(
                (id, w) -> {
                    if (now >= w.deadline()) {
                        overdue.add(id);
                    }
                });
        overdue.forEach(this::unknown);
    }

    void lostLeadership() {
        List.copyOf(waiting.keySet()).forEach(this::unknown);
    }

    private void unknown(String id) {
        waiting.remove(id);
        answer(
                id,
                Kind.UNKNOWN,
                CommandResult.refused(
                        "the outcome is not known yet; resend with the same operation id"),
                List.of());
    }

    private void decided(String id, CommandResult result, ControlState state) {
        boolean pending =
                result.outcome() == CommandResult.Outcome.PENDING
                        && state.rules().pending().exists(p -> p.version() == result.value());
        answer(id, Kind.DECIDED, result, pending ? activation.waitingFor(state) : List.of());
    }

    private void answer(String id, Kind kind, CommandResult result, List<String> waitingFor) {
        out.add(new ControlAction.AnswerOperator(new OperatorAnswer(id, kind, result, waitingFor)));
    }

    private Either<List<String>, OperatorCommand> command(
            OperatorRequest request, ControlState state) {
        OperatorRequest.Operation by = request.operation();
        if (request instanceof OperatorRequest.Apply r) {
            return checker.check(r.text()).map(summary -> rules(r, summary, state));
        }
        if (request instanceof OperatorRequest.Withdraw r) {
            return Either.right(
                    new ControlCommand.WithdrawRules(
                            by.id(), r.version(), by.operator(), by.timeMillis()));
        }
        if (request instanceof OperatorRequest.Drain r) {
            return Either.right(
                    new ControlCommand.DrainEndpoint(
                            by.id(),
                            r.group(),
                            r.endpoint(),
                            r.drained(),
                            by.operator(),
                            by.timeMillis()));
        }
        if (request instanceof OperatorRequest.RemoveMember r) {
            return Either.right(
                    new ControlCommand.RemoveProxy(
                            by.id(), r.proxy(), by.operator(), by.timeMillis()));
        }
        if (request instanceof OperatorRequest.Replace r) {
            return Either.right(
                    new ControlCommand.ReplaceEndpoint(
                            by.id(),
                            r.group(),
                            r.replaced(),
                            r.info(),
                            by.operator(),
                            by.timeMillis()));
        }
        if (request instanceof OperatorRequest.AddKey r) {
            return Either.right(
                    new ControlCommand.AddTokenKey(
                            by.id(), r.key(), by.operator(), by.timeMillis()));
        }
        throw new IllegalArgumentException("unknown request " + request.getClass().getName());
    }

    private static OperatorCommand rules(
            OperatorRequest.Apply request, RuleFileSummary summary, ControlState state) {
        OperatorRequest.Operation by = request.operation();
        if (RuleScope.widens(RuleTransitions.scopes(state.rules()), summary.scopes())) {
            return new ControlCommand.PrepareRules(
                    by.id(),
                    request.expectedVersion(),
                    request.text(),
                    summary.scopes(),
                    by.operator(),
                    by.timeMillis());
        }
        return new ControlCommand.ApplyRules(
                by.id(),
                request.expectedVersion(),
                request.text(),
                summary.scopes(),
                by.operator(),
                by.timeMillis());
    }
}
