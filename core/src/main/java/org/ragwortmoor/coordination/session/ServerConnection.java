package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.statement.MessageKind;
import org.ragwortmoor.state.statement.PositionField;
import org.ragwortmoor.state.statement.StatementMessage;

/**
 * A connection to a server: at most one user at a time, answers in the order of the statements. An
 * answer that does not fit ends the connection, because later answers could then be taken for those
 * of other statements.
 */
final class ServerConnection implements SessionHost.ServerLinkListener {
    /** Id of statements that the proxy issues itself. */
    static final String OWN_ID = "-";

    private final SessionHost host;
    private final Server server;
    private final SessionHost.ServerLink link;
    private final Deque<Exchange> pending = new ArrayDeque<>();
    private final Map<String, String> values = new LinkedHashMap<>();
    private final Set<String> prepared = new HashSet<>();
    private final SessionHost.Timer openTimer;
    private long idleSince;
    private boolean ready;
    private boolean closed;
    private boolean valuesKnown = true;
    private List<String> rows = new ArrayList<>();
    private StatementMessage ending;

    private static final class Exchange {
        final Consumer<ExchangeResult> done;
        final long sentAt;
        SessionHost.Timer timer;

        Exchange(Consumer<ExchangeResult> done, long sentAt) {
            this.done = done;
            this.sentAt = sentAt;
        }
    }

    /** Starts to open a connection; the server hears of the outcome. */
    ServerConnection(SessionHost host, Server server, long openDeadline) {
        this.host = host;
        this.server = server;
        this.link = host.connect(server.record(), this);
        this.openTimer = host.schedule(openDeadline, () -> fail("not open in time"));
    }

    Server server() {
        return server;
    }

    boolean usable() {
        return ready && !closed;
    }

    /** Returns the time since which nobody has used the connection. */
    long idleSince() {
        return idleSince;
    }

    void becameIdle(long now) {
        idleSince = now;
    }

    /** Session values that are set on the connection. */
    Map<String, String> values() {
        return values;
    }

    /** Returns whether {@link #values} is certain to be what the server has. */
    boolean valuesKnown() {
        return valuesKnown;
    }

    /** Notes that a rolled-back transaction may have changed the values. */
    void forgetValues() {
        valuesKnown = false;
    }

    /** Notes that the server has cleared values and prepared names. */
    void cleared() {
        values.clear();
        prepared.clear();
        valuesKnown = true;
    }

    Set<String> prepared() {
        return prepared;
    }

    /** Sends a statement; {@code done} is called exactly once. */
    void ask(String id, String text, long deadline, Consumer<ExchangeResult> done) {
        if (closed) {
            done.accept(new ExchangeResult.Lost("the connection is closed"));
            return;
        }
        Exchange exchange = new Exchange(done, host.now());
        exchange.timer = host.schedule(deadline, () -> fail("no answer in time"));
        pending.add(exchange);
        link.send(List.of(StatementMessage.of(MessageKind.QUERY, id, text)));
    }

    /** Closes the connection; unanswered statements are lost. */
    void close(String reason) {
        fail(reason);
    }

    /** Returns the time at which the oldest unanswered statement was sent, if there is one. */
    Option<Long> waitingSince() {
        return Option.of(pending.peek()).map(e -> e.sentAt);
    }

    @Override
    public void opened() {
        String group = server.record().group();
        link.send(
                List.of(
                        StatementMessage.of(
                                MessageKind.CONNECT, group, "ragwortmoor", server.record().id())));
    }

    @Override
    public void received(StatementMessage message) {
        if (closed) {
            return;
        }
        server.heard(host.now());
        if (!ready) {
            receivedGreeting(message);
            return;
        }
        switch (message.kind()) {
            case ROW -> rows.add(message.field(0));
            case COMPLETE, ERROR -> {
                if (ending != null || pending.isEmpty()) {
                    fail("answer out of order");
                    return;
                }
                ending = message;
            }
            case READY -> receivedReady(message);
            default -> fail("unexpected " + message.kind());
        }
    }

    private void receivedGreeting(StatementMessage message) {
        if (message.kind() == MessageKind.READY) {
            ready = true;
            openTimer.cancel();
            server.observe(PositionField.parse(message.field(1)));
            server.opened(this);
        } else {
            fail(message.kind() == MessageKind.ERROR ? message.field(0) : "no greeting");
        }
    }

    private void receivedReady(StatementMessage message) {
        Exchange exchange = pending.peek();
        if (exchange == null || ending == null) {
            fail("answer out of order");
            return;
        }
        pending.remove();
        exchange.timer.cancel();
        List<String> answered = rows;
        StatementMessage end = ending;
        rows = new ArrayList<>();
        ending = null;
        String state = message.field(0);
        Option<Position> position = PositionField.parse(message.field(1));
        server.observe(position);
        exchange.done.accept(
                end.kind() == MessageKind.COMPLETE
                        ? new ExchangeResult.Completed(answered, end.field(0), state, position)
                        : new ExchangeResult.Failed(end.field(0), end.field(1), state, position));
    }

    @Override
    public void closed(String reason) {
        fail(reason);
    }

    private void fail(String reason) {
        if (closed) {
            return;
        }
        closed = true;
        openTimer.cancel();
        link.close();
        server.lost(this, reason, ready);
        List<Exchange> lost = List.copyOf(pending);
        pending.clear();
        for (Exchange exchange : lost) {
            exchange.timer.cancel();
            exchange.done.accept(new ExchangeResult.Lost(reason));
        }
    }
}
