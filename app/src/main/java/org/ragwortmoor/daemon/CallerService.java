package org.ragwortmoor.daemon;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.ragwortmoor.coordination.engine.CallerAnswer;
import org.ragwortmoor.coordination.engine.CallerRequest;
import org.ragwortmoor.coordination.engine.EngineEvent;
import org.ragwortmoor.coordination.engine.ErrorKind;
import org.ragwortmoor.http.CallerBodies.Answer;
import org.ragwortmoor.http.CallerBodies.BeginBody;
import org.ragwortmoor.http.CallerBodies.ErrorBody;
import org.ragwortmoor.http.CallerBodies.OutcomeBody;
import org.ragwortmoor.http.CallerBodies.ReadBody;
import org.ragwortmoor.http.CallerBodies.SessionAnswer;
import org.ragwortmoor.http.CallerBodies.SessionBody;
import org.ragwortmoor.http.CallerBodies.TransactionBody;
import org.ragwortmoor.http.CallerBodies.WriteBody;
import org.ragwortmoor.http.ProxyApi;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.endpoint.WriteIdentity;
import org.ragwortmoor.state.rules.ScanDecision;
import org.ragwortmoor.state.token.SessionToken;

/** Serves callers: verifies the session, asks the rules, hands the request to its group. */
final class CallerService implements ProxyApi {
    private final SessionService sessions;
    private final AccessControl access;
    private final GroupDirectory groups;
    private final PendingRequests pending;
    private final AnswerWriter answers;
    private final RequestFactory requests;
    private final TransactionAccess transactions = new TransactionAccess();
    private final LongSupplier clock;
    private final BooleanSupplier stopping;

    CallerService(
            SessionService sessions,
            AccessControl access,
            GroupDirectory groups,
            PendingRequests pending,
            RequestFactory requests,
            LongSupplier clock,
            BooleanSupplier stopping) {
        this.sessions = sessions;
        this.access = access;
        this.groups = groups;
        this.pending = pending;
        this.requests = requests;
        this.answers = new AnswerWriter(sessions);
        this.clock = clock;
        this.stopping = stopping;
    }

    @Override
    public Either<ErrorBody, SessionAnswer> openSession(SessionBody body) {
        if (stopping.getAsBoolean()) {
            String message = "the proxy is stopping; use another proxy";
            return Either.left(new ErrorBody("STOPPING", message, 1));
        }
        return sessions.open(body.principal());
    }

    @Override
    public CompletionStage<Answer> read(ReadBody body) {
        Either<ErrorBody, Target> target = target(body.token(), body.group());
        if (target.isLeft()) {
            return refused(target.getLeft());
        }
        Either<ErrorBody, List<Operation>> operations = OperationReader.reads(body);
        if (operations.isLeft()) {
            return refused(operations.getLeft());
        }
        SessionToken session = target.get().session;
        Either<ErrorBody, CallerRequest> request =
                requests.read(
                        pending.newId(),
                        session,
                        body,
                        operations.get(),
                        access.acceptedAgeMillis(body.group(), operations.get()),
                        clock.getAsLong());
        Function<CallerAnswer, Answer> writer =
                body.scan() == null
                        ? answer -> answers.write(answer, session, body.group(), null)
                        : answer -> scanned(answer, session, body.group());
        return admitted(target.get(), operations.get(), request, writer);
    }

    /** The rules decide on a scan when it returns, so that an expired version withholds too. */
    private Answer scanned(CallerAnswer answer, SessionToken session, String group) {
        if (!(answer instanceof CallerAnswer.Done done)) {
            return answers.write(answer, session, group, null);
        }
        ScanDecision seen = access.filter(group, done.records(), session.principal());
        return answers.writeScan(done, seen.visible(), seen.withheld(), session, group);
    }

    @Override
    public CompletionStage<Answer> write(WriteBody body) {
        Either<ErrorBody, Target> target = target(body.token(), body.group());
        if (target.isLeft()) {
            return refused(target.getLeft());
        }
        Either<ErrorBody, List<Operation>> operations =
                OperationReader.operations(body.operations());
        if (operations.isLeft()) {
            return refused(operations.getLeft());
        }
        SessionToken session = target.get().session;
        Either<ErrorBody, CallerRequest.Write> request =
                requests.write(pending.newId(), session, body, operations.get(), clock.getAsLong());
        String key = request.map(r -> r.identity().key()).getOrNull();
        return admitted(
                target.get(),
                operations.get(),
                request.map(r -> r),
                answer -> answers.write(answer, session, body.group(), key));
    }

    @Override
    public CompletionStage<Answer> begin(BeginBody body) {
        Either<ErrorBody, Target> target = target(body.token(), body.group());
        if (target.isLeft()) {
            return refused(target.getLeft());
        }
        long now = clock.getAsLong();
        Either<ErrorBody, Long> deadline = requests.deadline(body.deadlineMillis(), now);
        Either<ErrorBody, Long> end = requests.transactionDeadline(body.transactionMillis(), now);
        if (deadline.isLeft() || end.isLeft()) {
            return refused(deadline.isLeft() ? deadline.getLeft() : end.getLeft());
        }
        SessionToken session = target.get().session;
        CallerRequest request =
                new CallerRequest.Begin(
                        pending.newId(), session.sessionId(), end.get(), deadline.get());
        return submit(target.get().host, request)
                .thenApply(
                        answer -> {
                            if (answer instanceof CallerAnswer.Done done) {
                                transactions.begin(done.transaction(), end.get(), now);
                            }
                            return answers.write(answer, session, body.group(), null);
                        });
    }

    @Override
    public CompletionStage<Answer> execute(TransactionBody body) {
        Either<ErrorBody, Target> target = transactionTarget(body);
        if (target.isLeft()) {
            return refused(target.getLeft());
        }
        Either<ErrorBody, List<Operation>> operations =
                OperationReader.operations(body.operations());
        if (operations.isLeft()) {
            return refused(operations.getLeft());
        }
        if (!transactions.add(body.transaction(), operations.get())) {
            String message =
                    "a transaction has at most "
                            + TransactionAccess.MAX_OPERATIONS
                            + " operations; commit in smaller parts";
            return refused(new ErrorBody("BAD_REQUEST", message, 0));
        }
        SessionToken session = target.get().session;
        Either<ErrorBody, CallerRequest> request =
                requests.deadline(body.deadlineMillis(), clock.getAsLong())
                        .map(
                                deadline ->
                                        new CallerRequest.InTransaction(
                                                pending.newId(),
                                                session.sessionId(),
                                                body.transaction(),
                                                operations.get(),
                                                RequestFactory.serviceMicros(body.serviceMicros()),
                                                deadline));
        return admitted(
                target.get(),
                operations.get(),
                request,
                answer -> answers.write(answer, session, body.group(), null));
    }

    @Override
    public CompletionStage<Answer> commit(TransactionBody body) {
        Either<ErrorBody, Target> target = transactionTarget(body);
        if (target.isLeft()) {
            return refused(target.getLeft());
        }
        SessionToken session = target.get().session;
        Either<ErrorBody, CallerRequest.Commit> request =
                requests.commit(pending.newId(), session, body, clock.getAsLong());
        String key = request.map(r -> r.identity().key()).getOrNull();
        CallerRequest.Rollback rollback =
                new CallerRequest.Rollback(
                        pending.newId(),
                        session.sessionId(),
                        body.transaction(),
                        requests.latestDeadline(clock.getAsLong()));
        List<Operation> touched = transactions.operations(body.transaction());
        return admitted(
                        target.get(),
                        touched,
                        request.map(r -> r),
                        answer -> answers.write(answer, session, body.group(), key))
                .thenApply(answer -> afterCommit(target.get().host, rollback, answer));
    }

    /**
     * Forgets a committed transaction. One that the rules refused must not be forgotten while it is
     * open, because a second commit would then be decided on without its operations.
     */
    private Answer afterCommit(GroupHost host, CallerRequest.Rollback rollback, Answer answer) {
        String kind = answer.error() == null ? "" : answer.error().kind();
        if (kind.equals(ErrorKind.FORBIDDEN.name())) {
            submit(host, rollback).thenAccept(done -> endedIfDone(rollback.transaction(), done));
        } else if (!kind.equals(ErrorKind.RULES_EXPIRED.name())
                && !kind.equals(ErrorKind.FOREIGN_TRANSACTION.name())) {
            transactions.end(rollback.transaction());
        }
        return answer;
    }

    private void endedIfDone(String transaction, CallerAnswer answer) {
        if (answer instanceof CallerAnswer.Done) {
            transactions.end(transaction);
        }
    }

    @Override
    public CompletionStage<Answer> rollback(TransactionBody body) {
        Either<ErrorBody, Target> target = transactionTarget(body);
        if (target.isLeft()) {
            return refused(target.getLeft());
        }
        SessionToken session = target.get().session;
        Either<ErrorBody, Long> deadline =
                requests.deadline(body.deadlineMillis(), clock.getAsLong());
        if (deadline.isLeft()) {
            return refused(deadline.getLeft());
        }
        CallerRequest request =
                new CallerRequest.Rollback(
                        pending.newId(), session.sessionId(), body.transaction(), deadline.get());
        return submit(target.get().host, request)
                .thenApply(
                        answer -> {
                            endedIfDone(body.transaction(), answer);
                            return answers.write(answer, session, body.group(), null);
                        });
    }

    @Override
    public CompletionStage<Answer> outcome(OutcomeBody body) {
        Either<ErrorBody, Target> target = target(body.token(), body.group());
        if (target.isLeft()) {
            return undecided(body, target.getLeft());
        }
        if (body.key() == null || body.key().isEmpty()) {
            return undecided(body, new ErrorBody("BAD_REQUEST", "state the key of the write", 0));
        }
        SessionToken session = target.get().session;
        Either<ErrorBody, Long> deadline =
                requests.deadline(body.deadlineMillis(), clock.getAsLong());
        if (deadline.isLeft()) {
            return undecided(body, deadline.getLeft());
        }
        CallerRequest request =
                new CallerRequest.Resolve(
                        pending.newId(),
                        session.sessionId(),
                        new WriteIdentity(body.key(), 1),
                        deadline.get());
        return submit(target.get().host, request)
                .thenApply(answer -> answers.write(answer, session, body.group(), body.key()));
    }

    /** A refused question says nothing about the write that it asks for. */
    private static CompletionStage<Answer> undecided(OutcomeBody body, ErrorBody error) {
        return CompletableFuture.completedFuture(
                Answer.unknown(error.kind(), error.message(), body.key()));
    }

    private Either<ErrorBody, Target> transactionTarget(TransactionBody body) {
        if (body.transaction() == null || body.transaction().isEmpty()) {
            String message = "transaction is missing; begin one with POST /v1/transactions";
            return Either.left(new ErrorBody("BAD_REQUEST", message, 0));
        }
        return target(body.token(), body.group());
    }

    /** Verifies the session and finds the group, before any other part of a body is looked at. */
    private Either<ErrorBody, Target> target(String token, String group) {
        Either<ErrorBody, SessionToken> session = sessions.verify(token);
        if (session.isLeft()) {
            return Either.left(session.getLeft());
        }
        if (full(session.get(), group)) {
            String message =
                    "the session has used "
                            + SessionToken.MAX_GROUPS
                            + " groups; open a second session for the other groups";
            return Either.left(new ErrorBody("BAD_REQUEST", message, 0));
        }
        return groups.host(group)
                .map(host -> new Target(session.get(), host))
                .toEither(
                        () ->
                                new ErrorBody(
                                        "UNKNOWN_GROUP",
                                        "there is no group " + group + "; see ragwortmoor status",
                                        0));
    }

    private static boolean full(SessionToken session, String group) {
        return session.positions().size() >= SessionToken.MAX_GROUPS
                && session.position(group).isEmpty();
    }

    private CompletionStage<Answer> admitted(
            Target target,
            List<Operation> operations,
            Either<ErrorBody, ? extends CallerRequest> request,
            Function<CallerAnswer, Answer> writer) {
        if (request.isLeft()) {
            return refused(request.getLeft());
        }
        long id = request.get().id();
        Either<ErrorBody, AccessControl.Permit> admitted =
                access.admit(id, target.host.group(), operations, target.session.principal());
        if (admitted.isLeft()) {
            return refused(admitted.getLeft());
        }
        AccessControl.Permit permit = admitted.get();
        CompletionStage<Answer> answer =
                submit(target.host, request.get())
                        .whenComplete((done, failure) -> permit.close())
                        .thenApply(done -> checked(request.get(), done, permit, writer));
        // A version that came between the decision and the submission has not reviewed the request.
        permit.refusedNow().forEach(error -> target.host.submit(GroupDirectory.revoked(id, error)));
        return answer;
    }

    /**
     * A read that the rules do not allow any more shows nothing, even if its answer was received in
     * the same moment; a write that ran is answered as done.
     */
    private static Answer checked(
            CallerRequest request,
            CallerAnswer answer,
            AccessControl.Permit permit,
            Function<CallerAnswer, Answer> writer) {
        boolean shows =
                request instanceof CallerRequest.Read && answer instanceof CallerAnswer.Done;
        Option<ErrorBody> refusal = shows ? permit.refusedNow() : Option.none();
        return refusal.map(e -> Answer.notRun(e.kind(), e.message(), e.retryAfterMillis()))
                .getOrElse(() -> writer.apply(answer));
    }

    private CompletableFuture<CallerAnswer> submit(GroupHost host, CallerRequest request) {
        CompletableFuture<CallerAnswer> answer = pending.register(request.id());
        host.submit(new EngineEvent.RequestArrived(request));
        return answer;
    }

    private static CompletionStage<Answer> refused(ErrorBody error) {
        return CompletableFuture.completedFuture(
                Answer.notRun(error.kind(), error.message(), error.retryAfterMillis()));
    }

    /** A verified session and the host of the group that it addresses. */
    private record Target(SessionToken session, GroupHost host) {}
}
