package org.ragwortmoor.coordination.session;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
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

/** A simulated database server of the statement protocol with switchable faults. */
final class FakeServer {
    final ServerLoad load;
    private final SimulatedHost host;
    private final ServerRecord record;
    private final List<Session> sessions = new ArrayList<>();
    private final List<String> executed = new ArrayList<>();
    private ExecutionListener listener = (server, id, text, position, committed) -> {};
    private boolean leader;
    private boolean unresponsive;
    private boolean refusesConnections;
    private int answersToLose;
    private int busyRejections;
    private boolean failsReads;
    private int maxConnections = 100;
    private int connects;
    private int refusedConnects;
    private AnswerRepeater repeater = AnswerRepeater.NONE;
    private boolean signsEachExecution;
    private boolean busyKeepsTransaction;
    private int errorDelayMillis;
    private Position position = new Position(1, 10);

    FakeServer(SimulatedHost host, String id, String zone, boolean leads) {
        this.host = host;
        this.load = new ServerLoad(host);
        this.leader = leads;
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

    FakeServer setListener(ExecutionListener newListener) {
        listener = newListener;
        return this;
    }

    ServerRecord record() {
        return record;
    }

    /** Returns the executed statements, as {@code id text values}. */
    List<String> executed() {
        return executed;
    }

    boolean unresponsive() {
        return unresponsive;
    }

    boolean refusesConnections() {
        return refusesConnections;
    }

    int connects() {
        return connects;
    }

    int refusedConnects() {
        return refusedConnects;
    }

    int openSessions() {
        return sessions.size();
    }

    Position position() {
        return position;
    }

    FakeServer setPosition(long term, long index) {
        position = new Position(term, index);
        return this;
    }

    boolean leader() {
        return leader;
    }

    FakeServer setLeader(boolean newValue) {
        leader = newValue;
        return this;
    }

    /** Sets whether the server drops all messages; open connections stay open. */
    FakeServer setUnresponsive(boolean newValue) {
        unresponsive = newValue;
        return this;
    }

    /** Stops the server process: connections are reset and refused. */
    FakeServer crash() {
        refusesConnections = true;
        List.copyOf(sessions).forEach(s -> s.connection.fail("reset"));
        sessions.clear();
        return this;
    }

    FakeServer restart() {
        refusesConnections = false;
        return this;
    }

    /** Executes the next statements but drops their answers. */
    FakeServer loseAnswers(int answers) {
        answersToLose = answers;
        return this;
    }

    /** Rejects the next statements because no slot is free. */
    FakeServer rejectAsBusy(int statements) {
        busyRejections = statements;
        return this;
    }

    /** Sets whether reads are executed and fail, while everything else works. */
    FakeServer setFailsReads(boolean newValue) {
        failsReads = newValue;
        return this;
    }

    /** Rolls back all open transactions without telling their connections. */
    void endTransactions() {
        for (Session session : sessions) {
            session.state = "I";
            session.wrote = false;
        }
    }

    FakeServer setWorkMillis(int millis) {
        load.setStatementMillis(text -> millis);
        return this;
    }

    FakeServer setMaxConnections(int most) {
        maxConnections = most;
        return this;
    }

    /** Makes rows name the text, and signatures the number of the execution. */
    FakeServer signEachExecution() {
        signsEachExecution = true;
        return this;
    }

    /** Makes a transaction stay open after BUSY. */
    FakeServer keepTransactionsAfterBusy() {
        busyKeepsTransaction = true;
        return this;
    }

    FakeServer delayErrors(int millis) {
        errorDelayMillis = millis;
        return this;
    }

    /** Sets how answers are repeated on the connection that they were sent on. */
    FakeServer setRepeater(AnswerRepeater newRepeater) {
        repeater = newRepeater;
        return this;
    }

    Session accept(SimulatedHost.Connection connection) {
        Session session = new Session(connection);
        sessions.add(session);
        connects++;
        return session;
    }

    /** A connection as the server sees it. */
    final class Session {
        private final SimulatedHost.Connection connection;
        private final Map<String, String> values = new HashMap<>();
        private final Set<String> prepared = new HashSet<>();
        private String workspace = "";
        private String state = "I";
        private final Deque<StatementMessage> queue = new ArrayDeque<>();
        private boolean executing;
        private boolean wrote;
        private boolean inLeaderTransaction;
        private List<StatementMessage> crossing = List.of();

        Session(SimulatedHost.Connection connection) {
            this.connection = connection;
        }

        void ended() {
            sessions.remove(this);
        }

        void received(StatementMessage message) {
            if (unresponsive) {
                return;
            }
            if (message.kind() == MessageKind.CONNECT) {
                workspace = message.field(1);
                load.arrived(workspace, "CONNECT");
                if (sessions.size() > maxConnections) {
                    refusedConnects++;
                    connection.deliver(StatementMessage.of(MessageKind.ERROR, "OVERLOAD", ""));
                } else {
                    load.connect(this::answer);
                }
                return;
            }
            crossing.forEach(connection::deliver);
            crossing = List.of();
            // Statements of a connection are executed one after the other.
            if (executing) {
                queue.add(message);
                return;
            }
            query(message);
        }

        private void query(StatementMessage message) {
            String id = message.field(0);
            load.arrived(workspace, id);
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
            handleStatement(id, text, words);
        }

        private void handleStatement(String id, String text, String[] words) {
            switch (words[0]) {
                case "BEGIN" -> {
                    if (words.length == 1 && !leader) {
                        error("READONLY");
                    } else {
                        state = "T";
                        inLeaderTransaction = words.length == 1;
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
                default -> {
                    executing = true;
                    load.execute(
                            text,
                            () -> {
                                executing = false;
                                execute(id, text, words);
                                continueWithQueue();
                            });
                }
            }
        }

        private void continueWithQueue() {
            while (!executing && !queue.isEmpty()) {
                query(queue.poll());
            }
        }

        private void execute(String id, String text, String[] words) {
            if (unresponsive || !sessions.contains(this)) {
                return;
            }
            if (busyRejections > 0) {
                busyRejections--;
                error("BUSY");
                return;
            }
            if (words[0].equals("EXECUTE") && !prepared.contains(words[1])) {
                error("UNKNOWN");
                return;
            }
            boolean writes = words[0].equals("WRITE");
            boolean leaderRead =
                    state.equals("T") && inLeaderTransaction && words[0].equals("READ");
            if ((writes || leaderRead) && !leader) {
                error("READONLY");
                return;
            }
            if (words[0].equals("COMMIT") && wrote && !leader) {
                error("READONLY");
                return;
            }
            executed.add(id + " " + text + " " + values);
            if (failsReads && words[0].equals("READ")) {
                error("FAILED");
                return;
            }
            Position positionBefore = position;
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
            listener.executed(
                    FakeServer.this,
                    id,
                    text,
                    positionBefore,
                    positionBefore.equals(position) ? null : position);
            if (answersToLose > 0) {
                answersToLose--;
                return;
            }
            String execution = signsEachExecution ? "-" + executed.size() : "";
            String row = "row of " + record.id() + " for " + id;
            answer(
                    StatementMessage.of(
                            MessageKind.ROW, signsEachExecution ? row + " " + text : row),
                    StatementMessage.of(
                            MessageKind.COMPLETE, "signed-" + record.id() + "-" + id + execution));
        }

        private void complete(String signature) {
            answer(StatementMessage.of(MessageKind.COMPLETE, signature));
        }

        private void error(String code) {
            boolean stays = busyKeepsTransaction && code.equals("BUSY");
            if (state.equals("T") && !stays) {
                state = "E";
            }
            StatementMessage error = StatementMessage.of(MessageKind.ERROR, code, record.id());
            if (errorDelayMillis > 0) {
                host.afterMillis(errorDelayMillis, () -> answer(error));
            } else {
                answer(error);
            }
        }

        /** Sends messages and a READY, and repeats them as the repeater says. */
        private void answer(StatementMessage... messages) {
            List<StatementMessage> answer = new ArrayList<>(List.of(messages));
            answer.add(
                    StatementMessage.of(MessageKind.READY, state, PositionField.format(position)));
            answer.forEach(connection::deliver);
            repeater.repeat(
                    answer,
                    (repeated, delayMillis) ->
                            host.afterMillis(
                                    delayMillis, () -> repeated.forEach(connection::deliver)),
                    repeated -> crossing = repeated);
        }
    }
}
