package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import org.ragwortmoor.state.statement.ErrorCode;

/**
 * Executes a statement outside of a caller's transaction through a proxy that holds connections.
 *
 * <p>A read is sent to another proxy when the link is lost or does not answer. A write is sent a
 * second time only after a proxy has declined it, which means that no server has received it.
 */
final class ForwardedAutocommit implements StatementExecution {
    private final StatementContext session;
    private final SessionHost host;
    private final ForwardingStreams streams;
    private final HolderSelector selector;
    private final ServerGroup group;
    private final RoutedStatement statement;
    private final HolderAttempts tried;
    private Option<HolderLink> link = Option.none();
    private Option<StatementExecution> local = Option.none();
    private SessionHost.Timer timer;
    private String proxy = "";
    private long stream;
    private int attempts;
    private boolean finished;

    ForwardedAutocommit(
            StatementContext session,
            ForwardingStreams streams,
            ServerGroup group,
            RoutedStatement statement) {
        this.session = session;
        this.host = session.host();
        this.streams = streams;
        this.selector = group.holders();
        this.group = group;
        this.statement = statement;
        this.tried = new HolderAttempts(session.workspace(), statement.target());
    }

    @Override
    public void start() {
        send(selector.select(tried));
    }

    @Override
    public boolean awaitsLeader() {
        return false;
    }

    @Override
    public void abandon() {
        finished = true;
        cancelTimer();
        link.forEach(l -> l.end(stream));
        local.forEach(StatementExecution::abandon);
    }

    private void send(HolderSelector.Choice choice) {
        cancelTimer();
        if (choice.link().isEmpty() || ++attempts > SessionSettings.MAX_ATTEMPTS) {
            link = Option.none();
            StatementExecution execution = new AutocommitStatement(session, group, statement);
            local = Option.some(execution);
            execution.start();
            return;
        }
        proxy = choice.proxy();
        link = choice.link();
        stream = streams.next();
        long sentStream = stream;
        scheduleCheck();
        link.get()
                .execute(
                        ForwardedStatement.of(
                                stream,
                                true,
                                statement,
                                session,
                                ForwardedStatement.Mode.AUTOCOMMIT,
                                0,
                                false,
                                choice.mayDecline()),
                        result -> {
                            if (!finished && sentStream == stream) {
                                handleResult(result);
                            }
                        });
    }

    /** Checks the link while the answer is awaited, and ends the wait at the deadline. */
    private void scheduleCheck() {
        cancelTimer();
        long check = host.now() + SessionSettings.LINK_CHECK_NANOS;
        boolean checks = statement.isRead() && check - statement.deadline() < 0;
        long deadline = checks ? check : statement.deadline();
        timer = host.schedule(deadline, checks ? this::checkLink : this::handleTimeout);
    }

    private void checkLink() {
        if (finished) {
            return;
        }
        if (link.exists(HolderLink::usable)) {
            scheduleCheck();
            return;
        }
        link.forEach(l -> l.end(stream));
        tried.recordDeclined(proxy);
        send(selector.select(tried));
    }

    private void handleTimeout() {
        if (finished) {
            return;
        }
        link.forEach(l -> l.end(stream));
        fail(
                statement.isRead() ? ErrorCode.TIMEOUT.name() : ErrorCode.INDOUBT.name(),
                "no answer from proxy " + proxy);
    }

    private void handleResult(ForwardedResult result) {
        if (result instanceof ForwardedResult.Succeeded succeeded) {
            finish();
            session.consistency().setLastCommit(succeeded.lastCommit());
            log(succeeded.server(), "ok", "");
            session.answer(
                    new ExchangeResult.Completed(
                            succeeded.rows(),
                            succeeded.signature(),
                            ExchangeResult.IDLE,
                            succeeded.position()),
                    ExchangeResult.IDLE);
        } else if (result instanceof ForwardedResult.Failed failed) {
            finish();
            log(failed.server(), failed.code(), failed.reason());
            session.answerError(failed.code(), failed.reason(), failed.retryAfterMillis());
        } else if (result instanceof ForwardedResult.Declined declined) {
            selector.recordDeclined(proxy, declined, tried);
            send(selector.select(tried));
        } else if (statement.isRead()) {
            tried.recordDeclined(proxy);
            send(selector.select(tried));
        } else {
            fail(ErrorCode.INDOUBT.name(), "the answer of proxy " + proxy + " was lost");
        }
    }

    private void fail(String code, String reason) {
        finish();
        log("", code, reason);
        session.answerError(code, reason, SessionSettings.RETRY_AFTER_MILLIS);
    }

    private void finish() {
        finished = true;
        cancelTimer();
    }

    private void cancelTimer() {
        if (timer != null) {
            timer.cancel();
        }
    }

    private void log(String server, String outcome, String reason) {
        session.logStatement(
                statement.id(),
                proxy + "/" + server,
                outcome,
                reason,
                Option.none(),
                attempts,
                host.now() - statement.arrivedAt());
    }
}
