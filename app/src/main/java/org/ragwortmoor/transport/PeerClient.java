package org.ragwortmoor.transport;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Option;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.ragwortmoor.protocol.PeerBody;
import org.ragwortmoor.protocol.PeerEnvelope;

/**
 * Keeps one connection to each peer open and exchanges messages on it. A lost or silent connection
 * is replaced after a backoff.
 */
public final class PeerClient implements AutoCloseable {
    /** Time between probes of a connection, in milliseconds. */
    private static final long PROBE_MILLIS = 500;

    /** A connection without any frame for this long is silent: three probes were not returned. */
    private static final long SILENT_MILLIS = 1_750;

    private final TransportSettings settings;
    private final EventLoopGroup loops;
    private final Executor executor;
    private final PeerListener listener;
    private final TransportMetrics metrics;
    private final RandomGenerator random;
    private final PeerFrames frames;
    private final Map<String, Link> links = new ConcurrentHashMap<>();
    private volatile boolean closed;

    /**
     * Creates a client without connections.
     *
     * @param self identifier of this process, which its messages carry
     * @param executor runs the calls to the listener
     * @param random source of the jitter
     */
    public PeerClient(
            TransportSettings settings,
            String self,
            Executor executor,
            PeerListener listener,
            TransportMetrics metrics,
            RandomGenerator random) {
        this.settings = settings;
        this.loops = Channels.loops(settings);
        this.executor = executor;
        this.listener = listener;
        this.metrics = metrics;
        this.random = random;
        this.frames = new PeerFrames(self, settings, metrics);
    }

    /**
     * Connects to a peer and stays connected; does nothing if that has been asked before.
     *
     * @param address IP number and port
     * @return false if the address has another form or the client is closed
     */
    public boolean connect(String address) {
        Option<InetSocketAddress> target = Channels.parse(address);
        if (closed || target.isEmpty()) {
            return false;
        }
        links.computeIfAbsent(
                address,
                key -> {
                    Link link = new Link(key, target.get());
                    link.loop.execute(link::connect);
                    return link;
                });
        return true;
    }

    /** Closes the connection to a peer and drops what waits for it. */
    public void disconnect(String address) {
        Link link = links.remove(address);
        if (link != null) {
            link.loop.execute(link::end);
        }
    }

    /**
     * Sends a message to a peer, which is connected if necessary. While the peer cannot be reached,
     * only its newest heartbeat of each kind waits.
     *
     * @return false if the address is invalid or the message exceeds the frame limit
     */
    public boolean send(String address, PeerBody body) {
        if (!connect(address)) {
            return false;
        }
        Link link = links.get(address);
        return link != null && link.send(body);
    }

    /** Returns whether a connection to the peer is open. */
    public boolean isConnected(String address) {
        Link link = links.get(address);
        return link != null && link.connected;
    }

    @Override
    public void close() {
        closed = true;
        links.keySet().forEach(this::disconnect);
        Channels.shutdown(loops);
    }

    /** Returns a random time between half of the backoff and all of it. */
    private long jittered(int failures) {
        long backoff =
                Math.min(
                        settings.maxBackoffMillis(),
                        (long) settings.minBackoffMillis() << Math.min(failures, 16));
        synchronized (random) {
            return backoff / 2 + random.nextLong(backoff / 2 + 1);
        }
    }

    /** The connection to one peer. Confined to its event loop but for {@link #send}. */
    private final class Link implements PeerChannel.Events {
        private final String address;
        private final InetSocketAddress target;
        private final EventLoop loop = loops.next();
        private final PeerQueue queue = new PeerQueue(settings.queueLimit());
        private volatile PeerChannel channel;
        private volatile boolean connected;
        private ScheduledFuture<?> probes;
        private int failures;
        private boolean ended;

        Link(String address, InetSocketAddress target) {
            this.address = address;
            this.target = target;
        }

        void connect() {
            if (ended) {
                return;
            }
            PeerChannel next = new PeerChannel(address, queue, false, this, metrics);
            channel = next;
            Channels.connect(loop, settings, target, next)
                    .addListener(
                            done -> {
                                if (!done.isSuccess()) {
                                    metrics.error(address, "connect_failed");
                                    reconnect();
                                }
                            });
        }

        private void reconnect() {
            if (!ended) {
                Channels.after(loop, jittered(failures), this::connect);
                failures++;
            }
        }

        boolean send(PeerBody body) {
            Option<PeerQueue.Message> message = frames.encode(address, body);
            if (message.isEmpty()) {
                return false;
            }
            int dropped =
                    connected ? queue.offer(message.get()) : queue.offerReplacing(message.get());
            for (int i = 0; i < dropped; i++) {
                metrics.dropped(address);
            }
            PeerChannel current = channel;
            if (connected && current != null) {
                current.drainSoon();
            }
            return true;
        }

        void end() {
            ended = true;
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        public void opened(PeerChannel opened) {
            if (ended) {
                opened.close();
                return;
            }
            connected = true;
            failures = 0;
            probes =
                    loop.scheduleAtFixedRate(
                            () -> probe(opened), 0, PROBE_MILLIS, TimeUnit.MILLISECONDS);
        }

        private void probe(PeerChannel probed) {
            long silent = System.nanoTime() - probed.lastReceivedNanos();
            if (silent > TimeUnit.MILLISECONDS.toNanos(SILENT_MILLIS)) {
                metrics.error(address, "silent");
                probed.close();
            } else {
                probed.probe();
            }
        }

        @Override
        public void received(PeerChannel from, PeerEnvelope message) {
            executor.execute(() -> listener.receivedFrom(address, message, body -> send(body)));
        }

        @Override
        public void closed(PeerChannel lost) {
            connected = false;
            if (probes != null) {
                probes.cancel(false);
            }
            if (!ended) {
                metrics.error(address, "closed");
                reconnect();
            }
        }
    }
}
