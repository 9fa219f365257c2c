package org.ragwortmoor.transport;

import com.google.protobuf.ByteString;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.ragwortmoor.coordination.session.ForwardedResult;
import org.ragwortmoor.coordination.session.ForwardedStatement;
import org.ragwortmoor.coordination.session.HolderLink;
import org.ragwortmoor.protocol.ForwardingCodec;
import org.ragwortmoor.protocol.wire.ForwardingFrame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Links to other proxies, which execute statements for this one. Confined to one event loop.
 *
 * <p>A link that is in use is probed, since only its silence shows that a partition, a frozen
 * process or a lost connection keeps answers from arriving.
 */
public final class ForwardingClient {
    /** Timeout for connecting within a failure domain, where a round trip takes under 1 ms. */
    private static final int CONNECT_TIMEOUT_MILLIS = 200;

    /** Pause before another attempt to connect. */
    private static final long RECONNECT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Time without a received frame after which a link with unanswered statements is probed. */
    private static final long PROBE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Time without a received frame after which a link that was used recently is probed. */
    private static final long IDLE_PROBE_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

    /** Time since the last statement for which a link is probed. */
    private static final long RECENT_USE_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Time since the last use after which a link is closed; longer than any idle transaction. */
    private static final long UNUSED_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Time without an answer to a probe after which a link is not used. */
    private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Time without an answer to a probe after which a link is closed. */
    private static final long LOST_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    private static final Logger LOG = LoggerFactory.getLogger(ForwardingClient.class);

    private final EventLoop loop;
    private final String self;
    private final String localHost;
    private final BiConsumer<String, ByteString> updateListener;
    private final Map<String, Link> links = new HashMap<>();

    /**
     * Creates a client without links.
     *
     * @param self name of this proxy, sent when a link is opened
     * @param localHost IP address from which links are opened
     * @param updateListener receives updates of the directory that a proxy, given by its name,
     *     passes on
     */
    public ForwardingClient(
            EventLoop loop,
            String self,
            String localHost,
            BiConsumer<String, ByteString> updateListener) {
        this.updateListener = updateListener;
        this.loop = loop;
        this.self = self;
        this.localHost = localHost;
    }

    /** Sends a report that another proxy passes on, or drops it while there is no connection. */
    public void sendReport(String proxy, String address, ByteString report) {
        openLink(proxy, address).sendReport(report);
    }

    /** Returns the link to a proxy, and starts to connect if there is none. */
    public HolderLink link(String proxy, String address) {
        return openLink(proxy, address);
    }

    private Link openLink(String proxy, String address) {
        Link link = links.get(proxy);
        if (link != null && !link.address.equals(address)) {
            link.close("the proxy has another address");
            link = null;
        }
        if (link == null) {
            link = new Link(proxy, address);
            links.put(proxy, link);
            link.connect();
        }
        return link;
    }

    /**
     * Probes the links and closes lost ones, and those that are not used any more; to be called
     * periodically. A link in use is kept even if the directory does not list the other proxy,
     * which may only be late to report.
     */
    public void tick() {
        long now = System.nanoTime();
        for (Link link : List.copyOf(links.values())) {
            if (now - link.lastUsedAt >= UNUSED_NANOS) {
                links.remove(link.proxy);
                link.close("unused");
            } else {
                link.probe(now);
            }
        }
    }

    /** Returns one line per link, for the state dump. */
    public List<String> describe() {
        return links.values().stream().map(Link::describe).toList();
    }

    private final class Link extends SimpleChannelInboundHandler<ByteBuf> implements HolderLink {
        private final String proxy;
        private final String address;
        private final Map<Long, Consumer<ForwardedResult>> pending = new LinkedHashMap<>();
        private final Map<Long, ForwardingFrame> waiting = new LinkedHashMap<>();
        private Channel channel;
        private boolean connecting;
        private long nextConnectAt = System.nanoTime();
        private long lastReceivedAt;
        private long lastUsedAt = System.nanoTime();
        private long probeSentAt;
        private boolean probeUnanswered;
        private boolean closed;

        Link(String proxy, String address) {
            this.proxy = proxy;
            this.address = address;
        }

        @Override
        public boolean isSharable() {
            // The handler is added anew after each reconnect.
            return true;
        }

        void connect() {
            if (closed || connecting || channel != null) {
                return;
            }
            var target = Channels.parseIpv4Address(address);
            if (target.isEmpty()) {
                return;
            }
            connecting = true;
            ChannelFuture future =
                    new Bootstrap()
                            .group(loop)
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .option(ChannelOption.SO_KEEPALIVE, true)
                            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                            .localAddress(new InetSocketAddress(localHost, 0))
                            .handler(Channels.initializer(ForwardingFrames.LIMITS, () -> this))
                            .connect(target.get());
            future.addListener(
                    done -> {
                        if (!done.isSuccess()) {
                            // Without a descriptor this is called on a thread of Netty's own.
                            loop.execute(this::connectFailed);
                        }
                    });
        }

        private void connectFailed() {
            connecting = false;
            nextConnectAt = System.nanoTime() + RECONNECT_DELAY_NANOS;
            declineWaiting();
        }

        /** Declines the statements that were not sent, so that another proxy executes them. */
        private void declineWaiting() {
            List<Long> unsent = List.copyOf(waiting.keySet());
            waiting.clear();
            for (long stream : unsent) {
                complete(stream, new ForwardedResult.Declined("not connected to " + proxy));
            }
        }

        @Override
        public boolean usable() {
            if (channel == null && !connecting && System.nanoTime() - nextConnectAt >= 0) {
                connect();
            }
            return connecting || (channel != null && !silent(SILENCE_NANOS));
        }

        private boolean silent(long nanos) {
            return probeUnanswered && System.nanoTime() - probeSentAt >= nanos;
        }

        @Override
        public void execute(ForwardedStatement statement, Consumer<ForwardedResult> listener) {
            lastUsedAt = System.nanoTime();
            boolean congested = channel != null && !channel.isWritable();
            if (congested || (channel == null && !connecting)) {
                String reason = congested ? "the link is congested" : "not connected";
                loop.execute(() -> listener.accept(new ForwardedResult.Declined(reason)));
                return;
            }
            ForwardingFrame frame = ForwardingCodec.encode(statement);
            if (ForwardingFrames.check(frame).isDefined()) {
                end(statement.stream());
                String reason = ForwardingFrames.check(frame).get().message();
                loop.execute(() -> listener.accept(new ForwardedResult.Declined(reason)));
                return;
            }
            pending.put(statement.stream(), listener);
            if (channel == null) {
                waiting.put(statement.stream(), frame);
            } else {
                ForwardingFrames.write(channel, frame);
            }
        }

        void sendReport(ByteString report) {
            lastUsedAt = System.nanoTime();
            if (usable() && channel != null) {
                ForwardingFrames.write(
                        channel, ForwardingFrame.newBuilder().setReport(report).build());
            }
        }

        @Override
        public void end(long stream) {
            pending.remove(stream);
            boolean unsent = waiting.remove(stream) != null;
            if (!unsent && channel != null) {
                ForwardingFrames.write(
                        channel, ForwardingFrame.newBuilder().setEnd(stream).build());
            }
        }

        void probe(long now) {
            if (channel == null) {
                return;
            }
            if (silent(LOST_NANOS)) {
                LOG.warn("event=link_lost proxy={} pending={}", proxy, pending.size());
                channel.close();
                return;
            }
            boolean recentlyUsed = now - lastUsedAt < RECENT_USE_NANOS;
            long delay = pending.isEmpty() ? IDLE_PROBE_DELAY_NANOS : PROBE_DELAY_NANOS;
            if (!probeUnanswered && recentlyUsed && now - lastReceivedAt >= delay) {
                probeUnanswered = true;
                probeSentAt = now;
                ForwardingFrames.write(channel, ForwardingFrame.newBuilder().setPing(now).build());
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            connecting = false;
            if (closed) {
                context.close();
                return;
            }
            channel = context.channel();
            lastReceivedAt = System.nanoTime();
            probeUnanswered = false;
            ForwardingFrames.write(channel, ForwardingFrame.newBuilder().setHello(self).build());
            List<ForwardingFrame> frames = List.copyOf(waiting.values());
            waiting.clear();
            frames.forEach(frame -> ForwardingFrames.write(channel, frame));
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
            lastReceivedAt = System.nanoTime();
            probeUnanswered = false;
            ForwardingFrames.read(bytes)
                    .peek(this::received)
                    .peekLeft(error -> reject(error.toString()));
        }

        private void received(ForwardingFrame frame) {
            if (frame.hasResult()) {
                ForwardingCodec.decode(frame.getResult())
                        .peek(result -> complete(frame.getResult().getStream(), result))
                        .peekLeft(error -> reject(error.toString()));
            } else if (frame.hasUpdate()) {
                updateListener.accept(proxy, frame.getUpdate());
            } else if (!frame.hasPong()) {
                reject("unexpected frame " + frame.getBodyCase());
            }
        }

        private void reject(String reason) {
            LOG.warn("event=link_rejected proxy={} reason=\"{}\"", proxy, reason);
            channel.close();
        }

        private void complete(long stream, ForwardedResult result) {
            Consumer<ForwardedResult> listener = pending.remove(stream);
            if (listener != null) {
                listener.accept(result);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (channel != context.channel()) {
                return;
            }
            channel = null;
            nextConnectAt = System.nanoTime() + RECONNECT_DELAY_NANOS;
            for (long stream : List.copyOf(pending.keySet())) {
                complete(stream, new ForwardedResult.Lost("the link to " + proxy + " was lost"));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                LOG.error("event=link_failed proxy={}", proxy, cause);
            }
            context.close();
        }

        void close(String reason) {
            LOG.info("event=link_closed proxy={} reason=\"{}\"", proxy, reason);
            closed = true;
            declineWaiting();
            if (channel != null) {
                channel.close();
            }
        }

        String describe() {
            String state = channel != null ? "open" : connecting ? "connecting" : "closed";
            return "link " + proxy + " " + state + " pending=" + pending.size();
        }
    }
}
