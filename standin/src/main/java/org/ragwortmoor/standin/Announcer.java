package org.ragwortmoor.standin;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.ragwortmoor.coordination.control.Announcement;
import org.ragwortmoor.protocol.PeerBody;
import org.ragwortmoor.protocol.PeerCodec;
import org.ragwortmoor.protocol.PeerEnvelope;
import org.ragwortmoor.standin.FaultSwitch.Direction;

/**
 * Announces the endpoint to all control processes periodically and after a change of its role.
 * Confined to the server's event loop.
 */
final class Announcer {
    /** Announcements without any answer after which a connection counts as silent. */
    private static final int UNANSWERED_LIMIT = 6;

    private final ServerState server;
    private final Supplier<Announcement> announcement;
    private final List<Link> links;
    private ScheduledFuture<?> timer;
    private Promise announced = Promise.NONE;

    Announcer(ServerState server, Supplier<Announcement> announcement) {
        this.server = server;
        this.announcement = announcement;
        this.links = server.settings.controlAddresses().stream().map(Link::new).toList();
    }

    void start() {
        timer =
                server.loop.scheduleAtFixedRate(
                        this::announce,
                        0,
                        server.settings.delays().announceMillis(),
                        TimeUnit.MILLISECONDS);
    }

    /** Announces at once if the promise has changed since the last announcement. */
    void check() {
        if (timer != null && !announced.equals(server.database.promise())) {
            announce();
        }
    }

    void announce() {
        announced = server.database.promise();
        PeerEnvelope envelope =
                new PeerEnvelope(
                        server.settings.endpoint(), new PeerBody.Announced(announcement.get()));
        byte[] bytes = PeerCodec.encode(envelope).toByteArray();
        links.forEach(link -> link.send(bytes));
    }

    void close() {
        if (timer != null) {
            timer.cancel(false);
        }
        links.forEach(Link::close);
    }

    /** The connection to one control process. */
    private final class Link {
        private final String address;
        private final PeerNames peer;
        private Channel channel;
        private boolean lostFrame;
        private boolean closed;
        private int unanswered;

        Link(String address) {
            this.address = address;
            this.peer = PeerNames.ofAddress(address);
        }

        void send(byte[] bytes) {
            if (server.faults.cutOff(peer, Direction.OUTBOUND)) {
                lostFrame = true;
                return;
            }
            // After a lost frame, a real network ends the connection or repeats the lost bytes.
            if (lostFrame || unanswered > UNANSWERED_LIMIT) {
                lostFrame = false;
                close();
                closed = false;
            }
            if (channel == null) {
                connect(bytes);
            } else if (channel.isActive() && channel.isWritable()) {
                unanswered++;
                Frames.write(channel, bytes);
            }
        }

        private void connect(byte[] first) {
            unanswered = 0;
            ChannelFuture connecting =
                    Frames.connect(
                            server.loop,
                            server.settings,
                            address,
                            new Acknowledgements(() -> unanswered = 0));
            Channel mine = connecting.channel();
            channel = mine;
            connecting.addListener(
                    done -> {
                        if (!done.isSuccess()) {
                            forget(mine);
                        } else if (closed) {
                            Frames.close(mine);
                        } else if (!server.faults.cutOff(peer, Direction.OUTBOUND)) {
                            Frames.write(mine, first);
                        }
                    });
            mine.closeFuture().addListener(done -> forget(mine));
        }

        private void forget(Channel gone) {
            if (channel == gone) {
                channel = null;
            }
        }

        void close() {
            closed = true;
            if (channel != null) {
                Frames.close(channel);
                channel = null;
            }
        }
    }

    /** Takes any frame as a sign of life; its content does not matter. */
    private static final class Acknowledgements extends SimpleChannelInboundHandler<ByteBuf> {
        private final Runnable received;

        Acknowledgements(Runnable received) {
            this.received = received;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
            received.run();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            Frames.close(ctx.channel());
        }
    }
}
