package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.statement.ErrorCode;
import org.ragwortmoor.state.statement.MessageKind;
import org.ragwortmoor.state.statement.PositionField;
import org.ragwortmoor.state.statement.StatementMessage;

/**
 * A connection to a server, used by at most one statement or transaction at a time. Statements are
 * answered in order, but answers may be repeated; {@link AnswerMatcher} finds out which are. An
 * answer of another statement closes the connection.
 */
final class ServerConnection implements SessionHost.ServerLinkListener {
    /** Id of the statements that the proxy issues itself. */
    private static final String PROXY_STATEMENT_ID = "-";

    private final SessionHost host;
    private final Server server;
    private final String workspace;
    private final SessionHost.ServerLink link;
    private final Deque<Exchange> pending = new ArrayDeque<>();
    private final Map<String, String> values = new LinkedHashMap<>();
    private final Set<String> prepared = new HashSet<>();
    private final AnswerMatcher matcher = new AnswerMatcher();
    private final SessionHost.Timer openTimer;
    private long idleSince;
    private boolean ready;
    private boolean closed;
    private boolean valuesKnown = true;
    private String transactionState = ExchangeResult.IDLE;
    private boolean repeatsAnswers;
    private int confirmations;
    private int begins;
    private Option<ErrorConfirmation> confirmation = Option.none();
    private List<String> rows = new ArrayList<>();
    private StatementMessage completion;

    /** Starts to open a connection; the server is notified of the outcome. */
    ServerConnection(SessionHost host, Server server, String workspace, long openDeadline) {
        this.host = host;
        this.server = server;
        this.workspace = workspace;
        this.link = host.connect(server.record(), this);
        this.openTimer = host.schedule(openDeadline, () -> close("not open in time"));
    }

    Server server() {
        return server;
    }

    /** Returns the workspace that the server was told; empty if it is none. */
    String workspace() {
        return workspace;
    }

    boolean usable() {
        return ready && !closed;
    }

    /** Returns the time since which the connection has been idle. */
    long idleSince() {
        return idleSince;
    }

    void markIdle(long now) {
        idleSince = now;
    }

    /** Returns the session values that are set on the connection. */
    Map<String, String> values() {
        return values;
    }

    /** Returns whether {@link #values} is known to match the state of the server. */
    boolean valuesKnown() {
        return valuesKnown;
    }

    /** Records that a rolled-back transaction may have changed the session values. */
    void invalidateValues() {
        valuesKnown = false;
    }

    /** Records that the server has cleared session values and prepared statements. */
    void markReset() {
        values.clear();
        prepared.clear();
        valuesKnown = true;
    }

    Set<String> prepared() {
        return prepared;
    }

    /** Returns whether the server has repeated an answer on this connection. */
    boolean repeatsAnswers() {
        return repeatsAnswers;
    }

    /** Returns statements without an effect, whose number differs from that of the last call. */
    List<String> statementsBehindBegin() {
        return Collections.nCopies(1 + begins++ % 3, ErrorConfirmation.STATEMENT);
    }

    /** Returns whether a denial of leadership could be a repetition. */
    boolean hasDeniedLeadership() {
        return matcher.hasDelivered(ErrorCode.READONLY);
    }

    /** Returns why the connection must not be used for another statement, if so. */
    Option<String> replacementReason() {
        if (repeatsAnswers) {
            return Option.some("the server repeats answers");
        }
        return Option.when(matcher.full(), "no more answers can be told apart");
    }

    /**
     * Sends a statement of a caller.
     *
     * @param text statement, which may be preceded by a required position
     * @param repeatable whether the statement may be executed again
     * @param callback called exactly once
     */
    void execute(
            String id,
            String text,
            boolean repeatable,
            long deadline,
            Consumer<ExchangeResult> callback) {
        send(id, text, s -> ExpectedAnswer.toCaller(text, s), repeatable, deadline, callback);
    }

    /** Sends a statement of the proxy itself; {@code callback} is called exactly once. */
    void executeOwn(String text, long deadline, Consumer<ExchangeResult> callback) {
        Function<String, ExpectedAnswer> expectation = s -> ExpectedAnswer.toProxy(text, s);
        send(PROXY_STATEMENT_ID, text, expectation, true, deadline, callback);
    }

    /** Returns the answers to the unanswered statements if they succeed. */
    private List<ExpectedAnswer> expectedAnswers() {
        List<ExpectedAnswer> expected = new ArrayList<>();
        String state = transactionState;
        for (Exchange exchange : pending) {
            expected.add(exchange.expected(state));
            state = expected.get(expected.size() - 1).state();
        }
        return expected;
    }

    private void send(
            String id,
            String text,
            Function<String, ExpectedAnswer> expectation,
            boolean repeatable,
            long deadline,
            Consumer<ExchangeResult> callback) {
        if (closed) {
            callback.accept(new ExchangeResult.Lost("the connection is closed"));
            return;
        }
        SessionHost.Timer timer = host.schedule(deadline, () -> close("no answer in time"));
        pending.add(
                new Exchange(
                        id,
                        expectation,
                        repeatable,
                        server.lastPosition(),
                        host.now(),
                        callback,
                        timer));
        link.send(List.of(StatementMessage.of(MessageKind.QUERY, id, text)));
    }

    /** Returns the time at which the oldest unanswered statement was sent, if any. */
    Option<Long> oldestPendingSince() {
        return Option.ofOptional(unanswered().stream().findFirst()).map(Exchange::sentAt);
    }

    private List<Exchange> unanswered() {
        List<Exchange> unanswered = new ArrayList<>();
        confirmation.forEach(c -> unanswered.addAll(c.exchanges()));
        unanswered.addAll(pending);
        return unanswered;
    }

    @Override
    public void opened() {
        link.send(List.of(ServerHandshake.message(server.record(), workspace)));
    }

    @Override
    public void received(StatementMessage message) {
        if (closed) {
            return;
        }
        server.recordReceived(host.now());
        if (!ready) {
            receivedHandshakeReply(message);
            return;
        }
        if (pending.isEmpty() || (completion != null && message.kind() != MessageKind.READY)) {
            logMismatch("surplus", message);
            close("answer without a statement");
            return;
        }
        switch (message.kind()) {
            case ROW -> rows.add(message.field(0));
            case COMPLETE, ERROR -> completion = message;
            case READY -> receivedReady(message);
            default -> close("unexpected " + message.kind());
        }
    }

    private void receivedHandshakeReply(StatementMessage message) {
        if (message.kind() == MessageKind.READY) {
            ready = true;
            openTimer.cancel();
            server.observePosition(PositionField.parse(message.field(1)));
            server.connectionOpened(this);
        } else {
            close(
                    message.kind() == MessageKind.ERROR
                            ? message.field(0)
                            : "unexpected handshake message");
        }
    }

    private void receivedReady(StatementMessage message) {
        if (completion == null) {
            receivedReadyAlone(message);
            return;
        }
        List<String> completedRows = rows;
        StatementMessage completed = completion;
        rows = new ArrayList<>();
        completion = null;
        String state = message.field(0);
        Option<Position> position = PositionField.parse(message.field(1));
        server.observePosition(position);
        server.log().serverAnswered(AnswerMatcher.kindOf(completed));
        ExchangeResult result =
                completed.kind() == MessageKind.COMPLETE
                        ? new ExchangeResult.Completed(
                                completedRows, completed.field(0), state, position)
                        : new ExchangeResult.Failed(
                                completed.field(0), completed.field(1), state, position);
        switch (matcher.match(pending.peek().id(), expectedAnswers(), completed, state)) {
            case MATCHED -> {
                transactionState = state;
                receivedResult(result);
            }
            case AMBIGUOUS -> {
                transactionState = state;
                receivedAmbiguous(completed, result);
            }
            case REPEATED -> {
                logMismatch("repeated", completed);
                repeatsAnswers = true;
                if (confirmation.exists(ErrorConfirmation::started)) {
                    close("an answer was repeated during a confirmation");
                }
            }
            case MISPLACED -> receivedMisplaced(completed, state, result);
        }
    }

    /** Only the answer to CONNECT is a READY alone, so this one repeats it. */
    private void receivedReadyAlone(StatementMessage message) {
        logMismatch("repeated", message);
        repeatsAnswers = true;
        if (!rows.isEmpty()) {
            close("an answer was cut off");
        }
    }

    private void receivedResult(ExchangeResult result) {
        Exchange exchange = pending.remove();
        if (confirmation.exists(c -> !c.started())) {
            confirmation.get().hold(exchange, result);
            startConfirmationIfAnswered();
        } else {
            exchange.end(result);
        }
    }

    /** Holds the result back until all statements are answered and the error is confirmed. */
    private void receivedAmbiguous(StatementMessage error, ExchangeResult result) {
        if (confirmation.exists(ErrorConfirmation::started)) {
            logMismatch("ambiguous", error);
            close("an error may be a repetition");
            return;
        }
        if (confirmation.isEmpty()) {
            confirmation = Option.some(new ErrorConfirmation());
        }
        confirmation.get().hold(pending.remove(), result);
        startConfirmationIfAnswered();
    }

    private void startConfirmationIfAnswered() {
        if (!pending.isEmpty()) {
            return;
        }
        if (transactionState.equals(ExchangeResult.FAILED_TRANSACTION)) {
            close("an error in a failed transaction may be a repetition");
            return;
        }
        ErrorConfirmation started = confirmation.get();
        long deadline = host.now() + SessionSettings.CONFIRMATION_TIMEOUT_NANOS;
        for (String text : started.start(confirmations)) {
            executeOwn(text, deadline, result -> receivedConfirmation(started, result));
        }
        confirmations++;
    }

    private void receivedConfirmation(ErrorConfirmation answered, ExchangeResult result) {
        if (closed || !confirmation.contains(answered)) {
            return;
        }
        if (!(result instanceof ExchangeResult.Completed completed)) {
            close("an error could not be confirmed");
        } else if (answered.recordAnswer()) {
            if (answered.confirmedAt(completed.position())) {
                confirmation = Option.none();
                answered.deliver();
            } else {
                close("an error may be a repetition");
            }
        }
    }

    /** A signed answer during a confirmation shows that the error was a repetition. */
    private void receivedMisplaced(
            StatementMessage completed, String state, ExchangeResult result) {
        logMismatch("misplaced", completed);
        List<Exchange> held =
                confirmation
                        .filter(ErrorConfirmation::started)
                        .map(ErrorConfirmation::exchanges)
                        .getOrElse(List.of());
        if (AnswerMatcher.isSigned(completed)
                && held.size() == 1
                && held.get(0).expected(state).signed()) {
            repeatsAnswers = true;
            confirmation = Option.none();
            transactionState = state;
            held.get(0).end(result);
        } else {
            close("answer to another statement");
        }
    }

    private void logMismatch(String kind, StatementMessage message) {
        String statement =
                Option.ofOptional(unanswered().stream().findFirst())
                        .map(Exchange::id)
                        .getOrElse("");
        server.log()
                .answerMismatched(
                        server.record().group(),
                        server.record().id(),
                        kind,
                        statement,
                        message.kind() + " " + String.join(" ", message.fields()));
    }

    @Override
    public void closed(String reason) {
        close(reason);
    }

    /** Closes the connection; unanswered statements end as lost. */
    void close(String reason) {
        if (closed) {
            return;
        }
        closed = true;
        openTimer.cancel();
        link.close();
        server.connectionClosed(this, reason, ready);
        List<Exchange> unanswered = unanswered();
        confirmation = Option.none();
        pending.clear();
        unanswered.forEach(exchange -> exchange.end(new ExchangeResult.Lost(reason)));
    }
}
