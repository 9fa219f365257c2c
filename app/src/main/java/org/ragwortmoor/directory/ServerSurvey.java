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
 * Asks a server for the position that it has received, on a connection of its own. A replica that
 * is to be suspended is asked again afterwards, since it may have received more in between.
 */
final class ServerSurvey implements SessionHost.ServerLinkListener {
    /** Index of the received position in the row of a status answer. */
    private static final int RECEIVED_FIELD = 2;

    /** Ends the leadership of a primary whose term is lower than the one that follows. */
    private static final String STEP_DOWN = "STEPDOWN ";

    private static final Logger LOG = LoggerFactory.getLogger(ServerSurvey.class);

    private final ServerRecord server;
    private final String firstStatement;
    private final boolean suspend;
    private final Consumer<Position> found;
    private SessionHost.ServerLink link;
    private Option<Position> received = Option.none();
    private boolean greeted;
    private boolean suspended;
    private boolean ended;

    private ServerSurvey(
            ServerRecord server, String firstStatement, boolean suspend, Consumer<Position> found) {
        this.server = server;
        this.firstStatement = firstStatement;
        this.suspend = suspend;
        this.found = found;
    }

    /** Starts a survey; {@code found} is not called if the replica gives no position. */
    static void start(
            StatementClient client,
            ServerRecord server,
            boolean suspend,
            Consumer<Position> found) {
        ServerSurvey survey = new ServerSurvey(server, "STATUS", suspend, found);
        survey.link = client.connect(server.address(), survey);
    }

    /** Ends the leadership of a primary; {@code found} gets its last position. */
    static void stepDown(StatementClient client, ServerRecord server, Consumer<Position> found) {
        ServerSurvey survey = new ServerSurvey(server, STEP_DOWN, false, found);
        survey.link = client.connect(server.address(), survey);
    }

    /** Lets a suspended replica receive again. */
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
                }
            }
            case READY -> ready(message);
            case ERROR -> {
                LOG.info(
                        "event=survey_refused server={} code={} text=\"{}\"",
                        server.id(),
                        message.field(0),
                        message.field(1));
                if (!greeted) {
                    end();
                }
            }
            default -> {
                // The end of an answer says nothing beyond its READY.
            }
        }
    }

    private void ready(StatementMessage message) {
        if (!greeted) {
            greeted = true;
            long nextTerm =
                    PositionField.parse(message.field(1)).map(Position::term).getOrElse(0L) + 1;
            ask(firstStatement.equals(STEP_DOWN) ? STEP_DOWN + nextTerm : firstStatement);
            return;
        }
        if (suspend && !suspended && received.isDefined()) {
            suspended = true;
            ask("SUSPEND " + (received.get().term() + 1));
            return;
        }
        // Without a free slot there is no status, but the applied position is a lower bound.
        Option<Position> known =
                received.orElse(suspend ? Option.none() : PositionField.parse(message.field(1)));
        LOG.info("event=surveyed server={} position={}", server.id(), known.getOrNull());
        known.forEach(found);
        end();
    }

    private void ask(String text) {
        link.send(List.of(StatementMessage.of(MessageKind.QUERY, "-", text)));
    }

    @Override
    public void closed(String reason) {
        if (!ended) {
            LOG.info("event=survey_failed server={} reason=\"{}\"", server.id(), reason);
            ended = true;
        }
    }

    private void end() {
        if (!ended) {
            ended = true;
            link.close();
        }
    }
}
