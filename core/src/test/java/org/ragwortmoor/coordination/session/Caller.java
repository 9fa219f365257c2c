package org.ragwortmoor.coordination.session;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.ragwortmoor.state.statement.MessageKind;
import org.ragwortmoor.state.statement.StatementMessage;

/** A test caller with a session on the engine. */
final class Caller implements SessionHost.CallerLink {
    private final List<StatementMessage> received = new ArrayList<>();
    private final SimulatedHost host;
    private final CallerSession session;
    private boolean closed;
    private final int number;
    private int ids;

    Caller(SimulatedHost host, SessionEngine engine, String database) {
        this(host, engine, database, "caller");
    }

    Caller(SimulatedHost host, SessionEngine engine, String database, String key) {
        this.host = host;
        number = host.nextNumber();
        session = engine.accept(this);
        session.received(StatementMessage.of(MessageKind.CONNECT, database, key));
    }

    CallerSession session() {
        return session;
    }

    boolean closed() {
        return closed;
    }

    /** Returns the id of the next statement. */
    String nextId() {
        return "q" + (ids + 1) + "-" + number;
    }

    /** Sends a statement without waiting and returns its id. */
    String send(String text) {
        received.clear();
        String id = nextId();
        ids++;
        session.received(StatementMessage.of(MessageKind.QUERY, id, text));
        return id;
    }

    /** Sends a statement, advances time, and returns the answer. */
    String ask(String text, long millis) {
        send(text);
        host.advance(millis);
        return answer();
    }

    /** Sends a statement and returns the answer after 100 ms. */
    String ask(String text) {
        return ask(text, 100);
    }

    /** Returns the messages received since the last statement, joined. */
    String answer() {
        return received.stream()
                .map(m -> m.kind() + " " + String.join(" ", m.fields()))
                .collect(Collectors.joining("; "));
    }

    @Override
    public void send(List<StatementMessage> messages) {
        received.addAll(messages);
    }

    @Override
    public void close() {
        closed = true;
    }
}
