package org.ragwortmoor.standin;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.protocol.EndpointCodec;
import org.ragwortmoor.protocol.ProtocolError;
import org.ragwortmoor.protocol.wire.EndpointFrame;
import org.ragwortmoor.protocol.wire.FaultSwitchedMessage;
import org.ragwortmoor.protocol.wire.FetchMessage;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointAnswer.Refused;
import org.ragwortmoor.state.endpoint.EndpointCall;
import org.ragwortmoor.state.endpoint.RefusalKind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One accepted connection. Confined to the server's event loop. */
final class StandinConnection extends SimpleChannelInboundHandler<ByteBuf> {
    private static final Logger LOG = LoggerFactory.getLogger(StandinConnection.class);

    private enum Phase {
        NEW,
        OPENING,
        OPEN,
        CLOSED
    }

    private final ServerState server;
    private FrameLink link;
    private ChannelHandlerContext context;
    private Phase phase = Phase.NEW;
    private boolean admitted;
    private boolean administrative;
    private StatementRunner statements;

    StandinConnection(ServerState server) {
        this.server = server;
    }

    boolean isClient(String client) {
        return phase == Phase.OPEN
                && !administrative
                && (client.isEmpty() || client.equals(link.peer().client()));
    }

    void silence() {
        link.silence();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        context = ctx;
        link = new FrameLink(ctx.channel(), server);
        statements = new StatementRunner(server, link);
        server.opened(this);
        server.channels.add(ctx.channel());
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        phase = Phase.CLOSED;
        server.closed(this);
        statements.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
        if (phase == Phase.CLOSED) {
            return;
        }
        Either<ProtocolError, EndpointFrame> parsed = EndpointCodec.parse(bytes.nioBuffer());
        if (parsed.isLeft()) {
            reject(0, parsed.getLeft().toString());
            return;
        }
        EndpointFrame frame = parsed.get();
        // Fault switches pass all faults; otherwise a fault could not be ended.
        if (frame.hasFaultSwitch()) {
            link.write(switchFault(frame));
            return;
        }
        if (!admitted && server.faults.refuseConnections()) {
            Frames.close(ctx.channel());
            return;
        }
        admitted = true;
        nameFrom(frame);
        link.receive(() -> received(frame));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof DecoderException) {
            reject(0, "frame is too large or damaged: " + cause.getMessage());
            return;
        }
        LOG.debug("connection to {} failed", ctx.channel().remoteAddress(), cause);
        Frames.close(ctx.channel());
    }

    private EndpointFrame switchFault(EndpointFrame frame) {
        Either<ProtocolError, FaultSwitch> fault = FaultCodec.decode(frame.getFaultSwitch());
        fault.forEach(server::apply);
        return EndpointFrame.newBuilder()
                .setExchange(frame.getExchange())
                .setFaultSwitched(
                        FaultSwitchedMessage.newBuilder()
                                .setError(fault.isLeft() ? fault.getLeft().toString() : ""))
                .build();
    }

    /**
     * Learns the peer's name before the frame is delivered, so that a cut by name applies to it.
     */
    private void nameFrom(EndpointFrame frame) {
        if (frame.hasCall() && frame.getCall().hasHello()) {
            link.name(frame.getCall().getHello().getClient());
        } else if (frame.hasFetch()) {
            link.name(frame.getFetch().getReplica());
        }
    }

    private void received(EndpointFrame frame) {
        long exchange = frame.getExchange();
        if (phase == Phase.CLOSED) {
            return;
        }
        if (frame.hasFetch()) {
            fetch(exchange, frame.getFetch());
            return;
        }
        Either<ProtocolError, EndpointCall> call = EndpointCodec.decodeCall(frame);
        if (call.isLeft()) {
            reject(exchange, call.getLeft().toString());
        } else if (call.get() instanceof EndpointCall.Hello hello) {
            hello(exchange, hello);
        } else if (phase != Phase.OPEN) {
            reject(exchange, "send Hello first and wait for its answer");
        } else {
            handle(exchange, call.get());
        }
    }

    private void reject(long exchange, String reason) {
        server.badFrames.incrementAndGet();
        LOG.debug("closing connection of {}: {}", link.peer().address(), reason);
        phase = Phase.CLOSED;
        context.channel().config().setAutoRead(false);
        send(exchange, server.refuse(RefusalKind.BAD_REQUEST, reason));
        link.closeAfterSending();
    }

    private void hello(long exchange, EndpointCall.Hello hello) {
        if (phase != Phase.NEW) {
            reject(exchange, "Hello was sent twice");
            return;
        }
        administrative = hello.administrative();
        if (!administrative) {
            Option<Refused> refusal = admission();
            if (refusal.isDefined()) {
                send(exchange, refusal.get());
                link.closeAfterSending();
                return;
            }
        }
        phase = Phase.OPENING;
        Frames.after(
                server.loop,
                server.settings.delays().connectionCostMicros(),
                TimeUnit.MICROSECONDS,
                () -> {
                    if (phase == Phase.OPENING) {
                        phase = Phase.OPEN;
                        report(exchange);
                    }
                });
    }

    private Option<Refused> admission() {
        if (server.refusesWork()) {
            return Option.some(server.leaving());
        }
        if (!server.count(this)) {
            return Option.some(
                    server.refuse(
                            RefusalKind.CONNECTION_LIMIT,
                            "all "
                                    + server.settings.connectionLimit()
                                    + " connections are in use; close one first"));
        }
        return Option.none();
    }

    private void handle(long exchange, EndpointCall call) {
        if (call instanceof EndpointCall.Ping) {
            report(exchange);
        } else if (call instanceof EndpointCall.Status status) {
            status(exchange, status);
        } else if (call instanceof EndpointCall.Fence fence) {
            reportUnless(exchange, server.database.fence(fence.term()));
        } else if (call instanceof EndpointCall.Promote promote) {
            reportUnless(exchange, server.database.promote(promote.term()));
        } else if (call instanceof EndpointCall.Follow follow) {
            follow(exchange, follow);
        } else if (call instanceof EndpointCall.Resolve resolve) {
            send(exchange, server.database.resolve(resolve.term(), resolve.identity()));
        } else if (call instanceof EndpointCall.Reset) {
            statements.reset(exchange);
        } else if (administrative) {
            send(
                    exchange,
                    server.refuse(
                            RefusalKind.BAD_REQUEST,
                            "an administrative connection runs no statements"));
        } else {
            statements.run(exchange, call);
        }
    }

    private void follow(long exchange, EndpointCall.Follow call) {
        if (Frames.valid(call.primaryAddress())) {
            reportUnless(exchange, server.database.follow(call.term(), call.primaryAddress()));
        } else {
            String message = "not an IP number and port: " + call.primaryAddress();
            send(exchange, server.refuse(RefusalKind.BAD_REQUEST, message));
        }
    }

    private void status(long exchange, EndpointCall.Status call) {
        Position awaited = call.awaited();
        server.waiters.await(
                () -> {
                    // A position at or before the end is contained or will never be.
                    var status = server.status();
                    return status.contains(awaited) || status.promisedTerm() > awaited.term();
                },
                call.waitMicros(),
                () -> report(exchange));
    }

    private void fetch(long exchange, FetchMessage fetch) {
        Either<ProtocolError, Position> last = EndpointCodec.decodePosition(fetch.getLast());
        if (last.isLeft()) {
            reject(exchange, last.getLeft().toString());
            return;
        }
        server.waiters.await(
                () ->
                        !(fetched(fetch, last.get()) instanceof FetchOutcome.Entries entries)
                                || !entries.entries().isEmpty(),
                fetch.getWaitMicros(),
                () ->
                        link.send(
                                EndpointFrame.newBuilder()
                                        .setExchange(exchange)
                                        .setFetched(EntryCodec.encode(fetched(fetch, last.get())))
                                        .build()));
    }

    private FetchOutcome fetched(FetchMessage fetch, Position last) {
        // Half a frame leaves room for one entry of the largest size beside smaller ones.
        return server.database.fetch(
                fetch.getTerm(), last, server.settings.frameLimits().maxBytes() / 2);
    }

    private void reportUnless(long exchange, Option<Refused> refusal) {
        if (refusal.isDefined()) {
            send(exchange, refusal.get());
        } else {
            report(exchange);
        }
    }

    private void report(long exchange) {
        send(exchange, new EndpointAnswer.StatusReport(server.status()));
    }

    private void send(long exchange, EndpointAnswer answer) {
        link.send(EndpointCodec.frame(exchange, answer));
    }
}
