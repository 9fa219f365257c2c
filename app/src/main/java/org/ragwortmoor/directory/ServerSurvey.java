package org.ragwortmoor.directory;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.ragwortmoor.coordination.directory.ServerStatus;
import org.ragwortmoor.coordination.session.SessionHost;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.statement.MessageKind;
import org.ragwortmoor.state.statement.PositionField;
import org.ragwortmoor.state.statement.StatementMessage;
import org.ragwortmoor.transport.StatementClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends one instruction to a server, on a connection of its own, and receives the server's status.
 * Confined to the event loop.
 *
 * <p>Answers carry no id and may be repeated. The answer to CONNECT looks different from that of an
 * instruction. An answer that repeats an earlier attempt shows no effect, as it did the first time.
 */
final class ServerSurvey implements SessionHost.ServerLinkListener {
    /** Time after which a survey without a result is ended. */
    private static final long TIMEOUT_MILLIS = 1_000;

    /** Number of times that an instruction is sent until it takes effect. */
    private static final int MAX_ATTEMPTS = 3;

    private static final String BUSY = "BUSY";

    private static final Logger LOG = LoggerFactory.getLogger(ServerSurvey.class);

    private final ServerRecord server;
    private final ServerInstruction instruction;
    private final BooleanSupplier stillLeads;
    private final Consumer<ServerStatus> onStatus;
    private final List<String> rows = new ArrayList<>();
    private SessionHost.ServerLink link;
    private ScheduledFuture<?> timeout;
    private StatementMessage completion;
    private long knownTerm;
    private int attempts;
    private boolean connected;
    private boolean finished;

    /**
     * Creates a survey.
     *
     * @param stillLeads checked before each instruction; if false, none is sent
     * @param onStatus receives the status once the instruction has taken effect; not called else
     */
    ServerSurvey(
            ServerRecord server,
            ServerInstruction instruction,
            BooleanSupplier stillLeads,
            Consumer<ServerStatus> onStatus) {
        this.server = server;
        this.instruction = instruction;
        this.stillLeads = stillLeads;
        this.onStatus = onStatus;
    }

    /** Connects to the server. */
    void start(StatementClient client, EventLoop loop) {
        timeout =
                loop.schedule(
                        () -> fail("no answer within " + TIMEOUT_MILLIS + " ms"),
                        TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS);
        link = client.connect(server.address(), this);
    }

    @Override
    public void opened() {
        link.send(
                List.of(
                        StatementMessage.of(
                                MessageKind.CONNECT, server.group(), "control", server.id())));
    }

    @Override
    public void received(StatementMessage message) {
        if (finished) {
            return;
        }
        if (!connected) {
            receivedHandshakeReply(message);
            return;
        }
        switch (message.kind()) {
            case ROW -> rows.add(message.field(0));
            case COMPLETE, ERROR -> {
                if (completion != null) {
                    fail("an answer was cut off");
                }
                completion = message;
            }
            case READY -> ready(message);
            default -> fail("unexpected " + message.kind());
        }
    }

    private void receivedHandshakeReply(StatementMessage message) {
        switch (message.kind()) {
            case READY -> {
                connected = true;
                recordTerm(PositionField.parse(message.field(1)));
                instruct();
            }
            case ERROR -> fail("refused with " + message.field(0) + " " + message.field(1));
            default -> fail("unexpected " + message.kind());
        }
    }

    private void ready(StatementMessage message) {
        if (completion == null) {
            // Only CONNECT is answered by a READY alone, so this one repeats that answer.
            if (!rows.isEmpty()) {
                fail("an answer was cut off");
            }
            return;
        }
        Option<Position> applied = PositionField.parse(message.field(1));
        recordTerm(applied);
        if (completion.kind() == MessageKind.ERROR) {
            answeredWithError(completion.field(0), applied);
        } else {
            answeredWithRows();
        }
    }

    private void answeredWithError(String code, Option<Position> applied) {
        if (!code.equals(BUSY)) {
            fail("refused with " + code);
        } else if (attempts < MAX_ATTEMPTS) {
            instruct();
        } else if (instruction.acceptsAppliedPosition() && applied.isDefined()) {
            report(new ServerStatus(false, applied.get().term(), applied.get(), 0));
        } else {
            fail("no effect: " + code);
        }
    }

    private void answeredWithRows() {
        Option<ServerStatus> status =
                rows.size() == 1 ? StatusRow.parse(rows.get(0)) : Option.none();
        if (status.isEmpty()) {
            LOG.warn("event=status_unreadable server={} rows=\"{}\"", server.id(), rows);
            fail("no status");
            return;
        }
        knownTerm = Math.max(knownTerm, status.get().term());
        if (instruction.effective(status.get())) {
            report(status.get());
        } else if (attempts < MAX_ATTEMPTS) {
            instruct();
        } else {
            fail("no effect: " + status.get());
        }
    }

    private void recordTerm(Option<Position> applied) {
        knownTerm = Math.max(knownTerm, applied.map(Position::term).getOrElse(0L));
    }

    private void instruct() {
        if (!stillLeads.getAsBoolean()) {
            fail("this process does not lead any more");
            return;
        }
        attempts++;
        rows.clear();
        completion = null;
        String statement = instruction.statement(knownTerm);
        link.send(List.of(StatementMessage.of(MessageKind.QUERY, "-", statement)));
    }

    private void report(ServerStatus known) {
        LOG.info(
                "event=surveyed server={} instruction={} role={} term={} position={}"
                        + " suspended_term={}",
                server.id(),
                instruction,
                known.primary() ? "primary" : "replica",
                known.term(),
                known.received(),
                known.suspendedTerm());
        finish();
        link.close();
        onStatus.accept(known);
    }

    private void fail(String reason) {
        if (finished) {
            return;
        }
        LOG.info("event=survey_failed server={} reason=\"{}\"", server.id(), reason);
        finish();
        if (link != null) {
            link.close();
        }
    }

    private void finish() {
        finished = true;
        timeout.cancel(false);
    }

    @Override
    public void closed(String reason) {
        fail(reason);
    }
}
