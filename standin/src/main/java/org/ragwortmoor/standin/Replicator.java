package org.ragwortmoor.standin;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Either;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.protocol.EndpointCodec;
import org.ragwortmoor.protocol.ProtocolError;
import org.ragwortmoor.protocol.wire.EndpointFrame;
import org.ragwortmoor.protocol.wire.FetchMessage;
import org.ragwortmoor.standin.FaultSwitch.Direction;
import org.ragwortmoor.state.Position;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Fetches from the primary that the database follows. Confined to the server's event loop. */
final class Replicator {
    private static final Logger LOG = LoggerFactory.getLogger(Replicator.class);

    /** Longest time that the primary holds a fetch back if it has nothing new. */
    private static final long WAIT_MICROS = 500_000;

    /** A fetch without an answer for this long was lost: three times the longest regular wait. */
    private static final long TIMEOUT_MILLIS = 1_500;

    /** Time before another attempt after a failure, short against a failover of 2 s. */
    private static final long RETRY_MILLIS = 50;

    private final ServerState server;
    private Session session;
    private Promise source = Promise.NONE;
    private long sourceHeardAt;
    private boolean closed;

    Replicator(ServerState server) {
        this.server = server;
    }

    /** Starts, replaces or ends the session, as the promise and the faults demand. */
    void check() {
        Promise promise = server.database.promise();
        boolean wanted =
                !closed
                        && !promise.primary()
                        && Frames.valid(promise.followed())
                        && !server.faults.stopReplication();
        if (session != null && (!wanted || !session.promise.equals(promise))) {
            session.end();
            session = null;
        }
        if (!wanted) {
            source = Promise.NONE;
        } else if (!source.equals(promise)) {
            source = promise;
            sourceHeardAt = System.nanoTime();
        }
        if (wanted && session == null) {
            session = new Session(promise);
            session.connect();
        }
    }

    /** Returns the time since the followed primary answered; 0 if there is none. */
    long sourceSilentMillis() {
        return source.equals(Promise.NONE)
                ? 0
                : TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sourceHeardAt);
    }

    void close() {
        closed = true;
        check();
    }

    private void replace(Session failed) {
        if (session == failed) {
            session.end();
            session = null;
            Frames.after(server.loop, RETRY_MILLIS, TimeUnit.MILLISECONDS, this::check);
        }
    }

    /** One connection to one primary in one term. */
    private final class Session extends SimpleChannelInboundHandler<ByteBuf> {
        private final Promise promise;
        private final PeerNames peer;
        private final DelayLine lag;
        private Channel channel;
        private ScheduledFuture<?> timeout;
        private long exchange;
        private Position next;

        Session(Promise promise) {
            this.promise = promise;
            this.peer = PeerNames.ofAddress(promise.followed());
            this.lag = new DelayLine(server.loop);
            this.next = server.database.last();
        }

        void connect() {
            ChannelFuture connecting =
                    Frames.connect(server.loop, server.settings, promise.followed(), this);
            channel = connecting.channel();
            connecting.addListener(
                    done -> {
                        if (done.isSuccess()) {
                            fetch();
                        } else {
                            replace(this);
                        }
                    });
        }

        void end() {
            if (timeout != null) {
                timeout.cancel(false);
            }
            Frames.close(channel);
        }

        private boolean current() {
            return session == this;
        }

        private void fetch() {
            if (!current()) {
                return;
            }
            exchange++;
            timeout =
                    server.loop.schedule(
                            () -> replace(this), TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            if (server.faults.cutOff(peer, Direction.OUTBOUND)) {
                return;
            }
            EndpointFrame frame =
                    EndpointFrame.newBuilder()
                            .setExchange(exchange)
                            .setFetch(
                                    FetchMessage.newBuilder()
                                            .setTerm(promise.term())
                                            .setLast(EndpointCodec.encode(next))
                                            .setWaitMicros(WAIT_MICROS)
                                            .setReplica(server.settings.endpoint()))
                            .build();
            Frames.write(channel, frame.toByteArray());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            if (!current() || server.faults.cutOff(peer, Direction.INBOUND)) {
                return;
            }
            Either<ProtocolError, FetchOutcome> outcome =
                    EndpointCodec.parse(bytes.nioBuffer())
                            .filterOrElse(
                                    frame -> frame.hasFetched() && frame.getExchange() == exchange,
                                    frame ->
                                            new ProtocolError(
                                                    ProtocolError.Kind.UNEXPECTED,
                                                    "no answer to the fetch"))
                            .flatMap(frame -> EntryCodec.decode(frame.getFetched()));
            timeout.cancel(false);
            sourceHeardAt = System.nanoTime();
            if (outcome.isLeft()) {
                LOG.info("fetch from {} failed: {}", peer.address(), outcome.getLeft());
                replace(this);
            } else if (outcome.get() instanceof FetchOutcome.Rejected) {
                replace(this);
            } else if (outcome.get() instanceof FetchOutcome.Entries fetched) {
                fetched(fetched);
            } else {
                lag.offer(0, () -> diverged(outcome.get()));
            }
        }

        /** Applies the entries after the lag and meanwhile fetches the ones behind them. */
        private void fetched(FetchOutcome.Entries fetched) {
            int count = fetched.entries().size();
            if (count > 0) {
                next = fetched.entries().get(count - 1).position();
                lag.offer(server.faults.replicationLagMicros(), () -> apply(fetched));
            }
            fetch();
        }

        private void diverged(FetchOutcome divergence) {
            apply(divergence);
            next = server.database.last();
            fetch();
        }

        private void apply(FetchOutcome outcome) {
            if (current() && !server.database.replicate(promise.term(), outcome)) {
                replace(this);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            replace(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            LOG.info("connection to {} failed: {}", peer.address(), cause.toString());
            replace(this);
        }
    }
}
