package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import org.ragwortmoor.state.routes.Route;
import org.ragwortmoor.state.statement.ErrorCode;

/**
 * A caller's transaction that is executed by a proxy that holds connections.
 *
 * <p>All statements go to the proxy that has executed the first one. Until then the transaction can
 * move to another proxy. The loss of the link aborts it: the other proxy rolls it back, and no
 * commit has been sent, unless the commit itself is unanswered.
 */
final class ForwardedTransaction implements CallerTransaction {
    private final StatementContext session;
    private final SessionHost host;
    private final ForwardingStreams streams;
    private final HolderSelector selector;
    private final ServerGroup group;
    private final Route route;
    private final boolean readOnly;
    private final long beganAt;
    private final HolderAttempts tried;
    private Option<CallerTransaction> local = Option.none();
    private Option<HolderLink> link = Option.none();
    private RoutedStatement currentStatement;
    private SessionHost.Timer timer;
    private String proxy = "";
    private long stream;
    private int attempts;
    private boolean statementExecuted;
    private boolean wrote;
    private boolean valuesChanged;
    private boolean failed;
    private boolean ended;

    ForwardedTransaction(
            StatementContext session,
            ForwardingStreams streams,
            ServerGroup group,
            Route route,
            boolean readOnly,
            long beganAt) {
        this.session = session;
        this.host = session.host();
        this.streams = streams;
        this.selector = group.holders();
        this.group = group;
        this.route = route;
        this.readOnly = readOnly;
        this.beganAt = beganAt;
        this.tried =
                new HolderAttempts(
                        session.workspace(), ConnectionRequest.Target.of(route, readOnly));
    }

    @Override
    public Route route() {
        return route;
    }

    @Override
    public boolean failed() {
        return failed || local.exists(CallerTransaction::failed);
    }

    @Override
    public boolean awaitsLeader() {
        return false;
    }

    @Override
    public void markValuesChanged() {
        valuesChanged = true;
        local.forEach(CallerTransaction::markValuesChanged);
    }

    @Override
    public void execute(RoutedStatement statement) {
        currentStatement = statement;
        if (local.isDefined()) {
            local.get().execute(statement);
            return;
        }
        if (readOnly && statement.kind() == RoutedStatement.Kind.WRITE) {
            abort(ErrorCode.READONLY.name(), "the transaction was begun as read only");
            return;
        }
        attempts = 0;
        if (link.isEmpty()) {
            select();
        } else {
            send(false, false);
        }
    }

    @Override
    public void rollback() {
        end();
    }

    @Override
    public void abandon() {
        failed = true;
        end();
    }

    private void end() {
        ended = true;
        cancelTimer();
        link.forEach(l -> l.end(stream));
        link = Option.none();
        local.forEach(CallerTransaction::abandon);
    }

    private void select() {
        cancelTimer();
        HolderSelector.Choice choice = selector.select(tried);
        if (choice.link().isEmpty() || ++attempts > SessionSettings.MAX_ATTEMPTS) {
            CallerTransaction transaction =
                    new PinnedTransaction(session, group, route, readOnly, beganAt);
            local = Option.some(transaction);
            if (valuesChanged) {
                transaction.markValuesChanged();
            }
            transaction.execute(currentStatement);
            return;
        }
        proxy = choice.proxy();
        link = choice.link();
        stream = streams.next();
        send(true, choice.mayDecline());
    }

    private void send(boolean first, boolean mayDecline) {
        long sentStream = stream;
        cancelTimer();
        timer = host.schedule(currentStatement.deadline(), this::handleTimeout);
        link.get()
                .execute(
                        ForwardedStatement.of(
                                stream,
                                first,
                                currentStatement,
                                session,
                                readOnly
                                        ? ForwardedStatement.Mode.READ_TRANSACTION
                                        : ForwardedStatement.Mode.TRANSACTION,
                                (host.now() - beganAt) / 1_000_000,
                                valuesChanged,
                                mayDecline),
                        result -> {
                            if (!ended && sentStream == stream) {
                                cancelTimer();
                                handleResult(result);
                            }
                        });
    }

    private void handleResult(ForwardedResult result) {
        if (result instanceof ForwardedResult.Succeeded succeeded) {
            handleSucceeded(succeeded);
        } else if (result instanceof ForwardedResult.Failed error) {
            link = Option.none();
            abort(error.code(), error.reason(), error.retryAfterMillis());
        } else if (result instanceof ForwardedResult.Declined reason && statementExecuted) {
            link = Option.none();
            abort(ErrorCode.ABORTED.name(), reason.reason());
        } else if (result instanceof ForwardedResult.Declined declined) {
            selector.recordDeclined(proxy, declined, tried);
            link = Option.none();
            select();
        } else {
            handleLost("the link to proxy " + proxy + " was lost");
        }
    }

    private void handleSucceeded(ForwardedResult.Succeeded succeeded) {
        boolean committed = committing();
        statementExecuted = true;
        wrote |= currentStatement.kind() == RoutedStatement.Kind.WRITE;
        String transactionState = committed ? ExchangeResult.IDLE : ExchangeResult.IN_TRANSACTION;
        if (committed) {
            ended = true;
            link = Option.none();
            session.consistency().setLastCommit(succeeded.lastCommit());
            session.transactionEnded();
        }
        log(succeeded.server(), "ok", "");
        session.answer(
                new ExchangeResult.Completed(
                        succeeded.rows(),
                        succeeded.signature(),
                        transactionState,
                        succeeded.position()),
                transactionState);
    }

    private boolean committing() {
        return currentStatement.kind() == RoutedStatement.Kind.COMMIT;
    }

    private void handleTimeout() {
        if (!ended) {
            handleLost("no answer from proxy " + proxy);
        }
    }

    private void handleLost(String reason) {
        boolean outcomeUnknown = committing() && wrote;
        abort(outcomeUnknown ? ErrorCode.INDOUBT.name() : ErrorCode.ABORTED.name(), reason);
    }

    private void abort(String code, String reason) {
        abort(code, reason, SessionSettings.RETRY_AFTER_MILLIS);
    }

    private void abort(String code, String reason, int retryAfterMillis) {
        boolean commit = committing();
        failed = true;
        end();
        log("", code, reason);
        if (commit) {
            session.transactionEnded();
        }
        session.answerError(code, reason, retryAfterMillis);
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.cancel();
        }
    }

    private void log(String server, String outcome, String reason) {
        session.logStatement(
                currentStatement.id(),
                proxy + "/" + server,
                outcome,
                reason,
                Option.none(),
                attempts,
                host.now() - currentStatement.arrivedAt());
    }
}
