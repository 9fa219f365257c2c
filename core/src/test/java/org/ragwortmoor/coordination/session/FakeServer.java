package org.ragwortmoor.coordination.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerState;
import org.ragwortmoor.state.statement.MessageKind;
import org.ragwortmoor.state.statement.PositionField;
import org.ragwortmoor.state.statement.StatementMessage;

/** A database server of the statement protocol with switchable faults. */
final class FakeServer {
    private final VirtualHost host;
    private final ServerRecord record;
    private final List<Session> sessions = new ArrayList<>();
    private final List<String> ran = new ArrayList<>();
    private RunListener listener = (server, id, text, position, committed) -> {};
    private boolean leads;
    private boolean dark;
    private boolean refuses;
    private int losing;
    private int busy;
    private int workMillis = 5;
    private int maxConnections = 100;
    private int connects;
    private Position position = new Position(1, 10);

    FakeServer(VirtualHost host, String id, String zone, boolean leads) {
        this.host = host;
        this.leads = leads;
        this.record =
                new ServerRecord(
                        id,
                        1,
                        "g",
                        "10.0.0." + id.substring(1) + ":1",
                        zone,
                        5,
                        ServerState.READY,
                        leads,
                        1);
        host.add(this);
    }

    /** Hears of every statement that runs. */
    interface RunListener {
        /**
         * A statement has run.
         *
         * @param position the log's position before the statement
         * @param committed the position that it committed, or null
         */
        void ran(FakeServer server, String id, String text, Position position, Position committed);
    }

    FakeServer listen(RunListener heard) {
        listener = heard;
        return this;
    }

    ServerRecord record() {
        return record;
    }

    /** Statements that ran here, as {@code id text}. */
    List<String> ran() {
        return ran;
    }

    boolean dark() {
        return dark;
    }

    boolean refuses() {
        return refuses;
    }

    int connects() {
        return connects;
    }

    int openSessions() {
        return sessions.size();
    }

    Position position() {
        return position;
    }

    FakeServer at(long term, long index) {
        position = new Position(term, index);
        return this;
    }

    FakeServer lead(boolean changed) {
        leads = changed;
        return this;
    }

    /** No packet is answered; open connections stay open. */
    FakeServer goDark(boolean changed) {
        dark = changed;
        return this;
    }

    /** The process is down: connections are reset and refused. */
    FakeServer crash() {
        refuses = true;
        List.copyOf(sessions).forEach(s -> s.connection.fail("reset"));
        sessions.clear();
        return this;
    }

    /** The process is up again. */
    FakeServer restart() {
        refuses = false;
        return this;
    }

    /** Runs the next statements and loses their answers. */
    FakeServer lose(int answers) {
        losing = answers;
        return this;
    }

    /** Has no slot for the next statements. */
    FakeServer busy(int statements) {
        busy = statements;
        return this;
    }

    FakeServer work(int millis) {
        workMillis = millis;
        return this;
    }

    FakeServer maxConnections(int most) {
        maxConnections = most;
        return this;
    }

    Session accept(VirtualHost.Connection connection) {
        Session session = new Session(connection);
        sessions.add(session);
        connects++;
        return session;
    }

    /** A connection as the server sees it. */
    final class Session {
        private final VirtualHost.Connection connection;
        private final Map<String, String> values = new HashMap<>();
        private final Set<String> prepared = new HashSet<>();
        private String state = "I";
        private boolean wrote;
        private boolean plain;

        Session(VirtualHost.Connection connection) {
            this.connection = connection;
        }

        void ended() {
            sessions.remove(this);
        }

        void received(StatementMessage message) {
            if (dark) {
                return;
            }
            if (message.kind() == MessageKind.CONNECT) {
                if (sessions.size() > maxConnections) {
                    connection.deliver(StatementMessage.of(MessageKind.ERROR, "OVERLOAD", ""));
                } else {
                    ready();
                }
                return;
            }
            String id = message.field(0);
            String text = message.field(1);
            String[] words = text.split(" ");
            if (words[0].equals("AFTER")) {
                Position demanded = PositionField.parse(words[1]).get();
                if (position.compareTo(demanded) < 0) {
                    error("LAGGING");
                    return;
                }
                text = text.split(" ", 3)[2];
                words = text.split(" ");
            }
            run(id, text, words);
        }

        private void run(String id, String text, String[] words) {
            switch (words[0]) {
                case "BEGIN" -> {
                    if (words.length == 1 && !leads) {
                        error("READONLY");
                    } else {
                        state = "T";
                        plain = words.length == 1;
                        complete("-");
                    }
                }
                case "ROLLBACK" -> {
                    state = "I";
                    wrote = false;
                    complete("-");
                }
                case "SET" -> {
                    values.put(words[1], words[2]);
                    complete("-");
                }
                case "RESET" -> {
                    values.clear();
                    prepared.clear();
                    complete("-");
                }
                case "PREPARE" -> {
                    prepared.add(words[1]);
                    complete("-");
                }
                default -> host.after(workMillis, () -> work(id, text, words));
            }
        }

        private void work(String id, String text, String[] words) {
            if (dark || !sessions.contains(this)) {
                return;
            }
            if (busy > 0) {
                busy--;
                error("BUSY");
                return;
            }
            if (words[0].equals("EXECUTE") && !prepared.contains(words[1])) {
                error("UNKNOWN");
                return;
            }
            boolean writes = words[0].equals("WRITE");
            boolean inPlain = state.equals("T") && plain && words[0].equals("READ");
            if ((writes || inPlain) && !leads) {
                error("READONLY");
                return;
            }
            if (words[0].equals("COMMIT") && wrote && !leads) {
                error("READONLY");
                return;
            }
            ran.add(id + " " + text + " " + values);
            Position before = position;
            if (words[0].equals("COMMIT")) {
                state = "I";
                if (wrote) {
                    position = new Position(position.term(), position.index() + 1);
                }
                wrote = false;
            } else if (writes && state.equals("I")) {
                position = new Position(position.term(), position.index() + 1);
            }
            wrote |= writes && state.equals("T");
            listener.ran(
                    FakeServer.this, id, text, before, before.equals(position) ? null : position);
            if (losing > 0) {
                losing--;
                return;
            }
            connection.deliver(StatementMessage.of(MessageKind.ROW, "row of " + record.id()));
            complete("signed-" + record.id());
        }

        private void complete(String signature) {
            connection.deliver(StatementMessage.of(MessageKind.COMPLETE, signature));
            ready();
        }

        private void error(String code) {
            if (state.equals("T")) {
                state = "E";
            }
            connection.deliver(StatementMessage.of(MessageKind.ERROR, code, record.id()));
            ready();
        }

        private void ready() {
            connection.deliver(
                    StatementMessage.of(MessageKind.READY, state, PositionField.format(position)));
        }
    }
}
