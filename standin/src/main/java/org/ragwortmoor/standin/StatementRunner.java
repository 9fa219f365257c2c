package org.ragwortmoor.standin;

import io.vavr.control.Option;
import java.io.UncheckedIOException;
import org.ragwortmoor.protocol.EndpointCodec;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointAnswer.Refused;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.state.endpoint.RefusalKind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the statements of one connection, one at a time, and owns its transaction. Confined to the
 * server's event loop.
 *
 * <p>When the connection closes, its transaction is rolled back and a waiting statement is dropped.
 * A running statement goes on to its end, as in database servers that notice the loss only when
 * they answer.
 */
final class StatementRunner {
    private static final Logger LOG = LoggerFactory.getLogger(StatementRunner.class);

    private final ServerState server;
    private final FrameLink link;
    private boolean busy;
    private boolean closed;
    private Option<Long> waitingReset = Option.none();
    private Option<Long> transaction = Option.none();

    StatementRunner(ServerState server, FrameLink link) {
        this.server = server;
        this.link = link;
    }

    void close() {
        closed = true;
        server.slots.withdraw(this);
        transaction.forEach(server.database::rollback);
        transaction = Option.none();
    }

    /** Clears the connection as soon as a running statement has ended. */
    void reset(long exchange) {
        if (busy && server.slots.withdraw(this)) {
            busy = false;
        }
        if (busy) {
            waitingReset = Option.some(exchange);
            return;
        }
        transaction.forEach(server.database::rollback);
        transaction = Option.none();
        link.send(EndpointCodec.frame(exchange, new EndpointAnswer.ResetDone()));
    }

    void run(long exchange, EndpointCall call) {
        Option<Refused> refusal = refusal(call);
        if (refusal.isDefined()) {
            link.sendStatementAnswer(EndpointCodec.frame(exchange, refusal.get()));
            return;
        }
        if (call instanceof EndpointCall.Begin begin) {
            EndpointAnswer answer = server.database.begin(begin.term());
            if (answer instanceof EndpointAnswer.Began began) {
                transaction = Option.some(began.transaction());
            }
            link.sendStatementAnswer(EndpointCodec.frame(exchange, answer));
            return;
        }
        busy = true;
        boolean accepted =
                server.slots.submit(
                        this, serviceMicros(call), queued -> ended(exchange, call, queued));
        if (!accepted) {
            busy = false;
            link.sendStatementAnswer(
                    EndpointCodec.frame(
                            exchange,
                            server.refuse(
                                    RefusalKind.BUSY,
                                    server.slots.queued()
                                            + " statements are waiting; send fewer at a time")));
        }
    }

    private Option<Refused> refusal(EndpointCall call) {
        if (busy) {
            return Option.some(
                    server.refuse(
                            RefusalKind.BAD_REQUEST,
                            "a statement is running on this connection; wait for its answer"));
        }
        if (call instanceof EndpointCall.InTransaction statement) {
            return foreign(statement.transaction());
        }
        if (call instanceof EndpointCall.Commit commit) {
            return foreign(commit.transaction());
        }
        if (server.refusesWork()) {
            server.lateWork.incrementAndGet();
            return Option.some(server.leaving());
        }
        if (call instanceof EndpointCall.Begin && transaction.exists(server.database::isOpen)) {
            return Option.some(
                    server.refuse(
                            RefusalKind.BAD_REQUEST,
                            "the connection has an open transaction; commit it or reset"));
        }
        return call instanceof EndpointCall.Write write
                ? server.database.primaryRefusal(write.term())
                : Option.none();
    }

    private Option<Refused> foreign(long wanted) {
        return transaction.contains(wanted)
                ? Option.none()
                : Option.some(
                        server.refuse(
                                RefusalKind.UNKNOWN_TRANSACTION,
                                "the connection has no transaction "
                                        + wanted
                                        + "; begin a new one"));
    }

    private static long serviceMicros(EndpointCall call) {
        if (call instanceof EndpointCall.Read read) {
            return read.serviceMicros();
        }
        if (call instanceof EndpointCall.Write write) {
            return write.serviceMicros();
        }
        return call instanceof EndpointCall.InTransaction statement ? statement.serviceMicros() : 0;
    }

    private void ended(long exchange, EndpointCall call, long queuedMicros) {
        busy = false;
        EndpointAnswer answer;
        try {
            answer = execute(call);
        } catch (UncheckedIOException e) {
            LOG.error("closing a connection without an answer", e);
            link.close();
            return;
        }
        if (answer instanceof EndpointAnswer.Result result) {
            answer =
                    new EndpointAnswer.Result(
                            result.records(),
                            result.position(),
                            result.duplicate(),
                            queuedMicros,
                            server.slots.queued());
        }
        if (closed) {
            return;
        }
        link.sendStatementAnswer(EndpointCodec.frame(exchange, answer));
        Option<Long> reset = waitingReset;
        waitingReset = Option.none();
        reset.forEach(this::reset);
    }

    private EndpointAnswer execute(EndpointCall call) {
        if (call instanceof EndpointCall.Read read) {
            return server.database.read(read.operations());
        }
        if (call instanceof EndpointCall.Write write) {
            return server.database.write(write.term(), write.operations(), write.identity());
        }
        if (call instanceof EndpointCall.InTransaction statement) {
            return server.database.inTransaction(statement.transaction(), statement.operations());
        }
        EndpointCall.Commit commit = (EndpointCall.Commit) call;
        transaction = Option.none();
        return server.database.commit(commit.transaction(), commit.identity());
    }
}
