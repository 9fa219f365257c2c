package org.ragwortmoor.directory;

import io.vavr.control.Option;
import java.util.List;
import java.util.function.Consumer;
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
 * Queries a server for its received log position, on a dedicated connection. The position is
 * queried again after replication to a replica is suspended, because the replica may have received
 * more entries in between.
 */
final class ServerSurvey implements SessionHost.ServerLinkListener {
    /** Index of the role in the row that answers STATUS and STEPDOWN. */
    private static final int ROLE_FIELD = 0;

    /** Index of the received position in that row. */
    private static final int RECEIVED_FIELD = 2;

    private static final String REPLICA_ROLE = "replica";

    /** Makes a primary step down if its term is lower than the term that follows. */
    private static final String STEP_DOWN = "STEPDOWN ";

    private static final Logger LOG = LoggerFactory.getLogger(ServerSurvey.class);

    private final ServerRecord server;
    private final String firstStatement;
    private final boolean suspend;
    private final Consumer<Position> onPosition;
    private SessionHost.ServerLink link;
    private Option<Position> received = Option.none();
    private String role = "";
    private boolean connected;
    private boolean suspended;
    private boolean finished;

    private ServerSurvey(
            ServerRecord server,
            String firstStatement,
            boolean suspend,
            Consumer<Position> onPosition) {
        this.server = server;
        this.firstStatement = firstStatement;
        this.suspend = suspend;
        this.onPosition = onPosition;
    }

    /** Starts a survey; {@code onPosition} is not called if the server returns no position. */
    static void start(
            StatementClient client,
            ServerRecord server,
            boolean suspend,
            Consumer<Position> onPosition) {
        ServerSurvey survey = new ServerSurvey(server, "STATUS", suspend, onPosition);
        survey.link = client.connect(server.address(), survey);
    }

    /**
     * Makes a primary step down; {@code onPosition} receives its last position once the server has
     * confirmed that it is a replica.
     */
    static void stepDown(
            StatementClient client, ServerRecord server, Consumer<Position> onPosition) {
        ServerSurvey survey = new ServerSurvey(server, STEP_DOWN, false, onPosition);
        survey.link = client.connect(server.address(), survey);
    }

    /** Resumes replication to a suspended replica. */
    static void resume(StatementClient client, ServerRecord server) {
        ServerSurvey survey = new ServerSurvey(server, "RESUME", false, position -> {});
        survey.link = client.connect(server.address(), survey);
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
        switch (message.kind()) {
            case ROW -> {
                String[] fields = message.field(0).split(" ");
                if (fields.length > RECEIVED_FIELD) {
                    received = PositionField.parse(fields[RECEIVED_FIELD]);
                    role = fields[ROLE_FIELD];
                }
            }
            case READY -> ready(message);
            case ERROR -> {
                LOG.info(
                        "event=survey_refused server={} code={} text=\"{}\"",
                        server.id(),
                        message.field(0),
                        message.field(1));
                if (!connected) {
                    finish();
                }
            }
            default -> {
                // COMPLETE carries nothing that the READY after it does not.
            }
        }
    }

    private void ready(StatementMessage message) {
        if (!connected) {
            connected = true;
            long nextTerm =
                    PositionField.parse(message.field(1)).map(Position::term).getOrElse(0L) + 1;
            sendQuery(firstStatement.equals(STEP_DOWN) ? STEP_DOWN + nextTerm : firstStatement);
            return;
        }
        if (suspend && !suspended && received.isDefined()) {
            suspended = true;
            sendQuery("SUSPEND " + (received.get().term() + 1));
            return;
        }
        if (firstStatement.equals(STEP_DOWN) && !role.equals(REPLICA_ROLE)) {
            LOG.info("event=step_down_unconfirmed server={} role=\"{}\"", server.id(), role);
            finish();
            return;
        }
        // A server without a free slot returns no status; its applied position is a lower bound.
        Option<Position> known =
                received.orElse(suspend ? Option.none() : PositionField.parse(message.field(1)));
        LOG.info("event=surveyed server={} position={}", server.id(), known.getOrNull());
        known.forEach(onPosition);
        finish();
    }

    private void sendQuery(String text) {
        link.send(List.of(StatementMessage.of(MessageKind.QUERY, "-", text)));
    }

    @Override
    public void closed(String reason) {
        if (!finished) {
            LOG.info("event=survey_failed server={} reason=\"{}\"", server.id(), reason);
            finished = true;
        }
    }

    private void finish() {
        if (!finished) {
            finished = true;
            link.close();
        }
    }
}
