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
 * Maintains one connection to each peer and exchanges messages on it. A lost or unresponsive
 * connection is reopened after a backoff.
 */
public final class PeerClient implements AutoCloseable {
    private static final long PROBE_INTERVAL_MILLIS = 500;

    /** A connection without any frame for this long has missed the replies to three probes. */
    private static final long SILENCE_TIMEOUT_MILLIS = 1_750;

    private final TransportSettings settings;
    private final EventLoopGroup eventLoops;
    private final boolean ownsEventLoops;
    private final Executor executor;
    private final PeerListener listener;
    private final TransportMetrics metrics;
    private final RandomGenerator random;
    private final PeerFrameEncoder encoder;
    private final Map<String, PeerConnection> connectionsByAddress = new ConcurrentHashMap<>();
    private volatile boolean closed;

    /**
     * Creates a client without connections that runs on event loops of its own.
     *
     * @param self identifier of this process, sent with each message
     * @param executor runs the calls to the listener
     * @param random source of the backoff jitter
     */
    public PeerClient(
            TransportSettings settings,
            String self,
            Executor executor,
            PeerListener listener,
            TransportMetrics metrics,
            RandomGenerator random) {
        this(
                settings,
                self,
                Channels.newEventLoops(settings),
                true,
                executor,
                listener,
                metrics,
                random);
    }

    private PeerClient(
            TransportSettings settings,
            String self,
            EventLoopGroup eventLoops,
            boolean ownsEventLoops,
            Executor executor,
            PeerListener listener,
            TransportMetrics metrics,
            RandomGenerator random) {
        this.settings = settings;
        this.eventLoops = eventLoops;
        this.ownsEventLoops = ownsEventLoops;
        this.executor = executor;
        this.listener = listener;
        this.metrics = metrics;
        this.random = random;
        this.encoder = new PeerFrameEncoder(self, settings, metrics);
    }

    /**
     * Creates a client that runs on event loops of the caller and leaves them open when it is
     * closed. A process whose listener runs on the same loop is not woken twice for each message.
     *
     * @param eventLoops group with a single loop, on which the listener is called too
     */
    public static PeerClient onSharedLoop(
            TransportSettings settings,
            String self,
            EventLoopGroup eventLoops,
            PeerListener listener,
            TransportMetrics metrics,
            RandomGenerator random) {
        return new PeerClient(
                settings, self, eventLoops, false, eventLoops.next(), listener, metrics, random);
    }

    /**
     * Connects to a peer and keeps the connection open. Does nothing if already requested.
     *
     * @param address IPv4 address and port
     * @return false if the address has another form or the client is closed
     */
    public boolean connect(String address) {
        Option<InetSocketAddress> target = Channels.parseIpv4Address(address);
        if (closed || target.isEmpty()) {
            return false;
        }
        connectionsByAddress.computeIfAbsent(
                address,
                key -> {
                    PeerConnection connection = new PeerConnection(key, target.get());
                    connection.eventLoop.execute(connection::connect);
                    return connection;
                });
        return true;
    }

    /** Closes the connection to a peer and discards its queued messages. */
    public void disconnect(String address) {
        PeerConnection connection = connectionsByAddress.remove(address);
        if (connection != null) {
            connection.eventLoop.execute(connection::stop);
        }
    }

    /**
     * Sends a message to a peer, connecting first if necessary. While the peer is not connected, a
     * new heartbeat replaces queued heartbeats of the same kind.
     *
     * @return false if the address is invalid or the message exceeds the frame limit
     */
    public boolean send(String address, PeerBody body) {
        if (!connect(address)) {
            return false;
        }
        PeerConnection connection = connectionsByAddress.get(address);
        return connection != null && connection.send(body);
    }

    /** Returns whether a connection to the peer is open. */
    public boolean isConnected(String address) {
        PeerConnection connection = connectionsByAddress.get(address);
        return connection != null && connection.connected;
    }

    @Override
    public void close() {
        closed = true;
        connectionsByAddress.keySet().forEach(this::disconnect);
        if (ownsEventLoops) {
            Channels.shutdown(eventLoops);
        }
    }

    /** Returns the exponential backoff with jitter: a random time from half of it to all of it. */
    private long nextBackoffMillis(int consecutiveFailures) {
        long backoff =
                Math.min(
                        settings.maxBackoffMillis(),
                        (long) settings.minBackoffMillis() << Math.min(consecutiveFailures, 16));
        synchronized (random) {
            return backoff / 2 + random.nextLong(backoff / 2 + 1);
        }
    }

    /** The connection to one peer. Confined to its event loop except for {@link #send}. */
    private final class PeerConnection implements PeerChannel.Events {
        private final String address;
        private final InetSocketAddress target;
        private final EventLoop eventLoop = eventLoops.next();
        private final PeerQueue queue = new PeerQueue(settings.queueCapacity());
        private volatile PeerChannel channel;
        private volatile boolean connected;
        private ScheduledFuture<?> probeTask;
        private int consecutiveFailures;
        private boolean stopped;

        PeerConnection(String address, InetSocketAddress target) {
            this.address = address;
            this.target = target;
        }

        void connect() {
            if (stopped) {
                return;
            }
            PeerChannel next = new PeerChannel(address, queue, false, this, metrics);
            channel = next;
            Channels.connect(eventLoop, settings, target, next)
                    .addListener(
                            done -> {
                                if (!done.isSuccess()) {
                                    metrics.error(address, "connect_failed");
                                    scheduleReconnect();
                                }
                            });
        }

        private void scheduleReconnect() {
            if (!stopped) {
                Channels.schedule(eventLoop, nextBackoffMillis(consecutiveFailures), this::connect);
                consecutiveFailures++;
            }
        }

        boolean send(PeerBody body) {
            Option<PeerQueue.Message> message = encoder.encode(address, body);
            if (message.isEmpty()) {
                return false;
            }
            int dropped =
                    connected
                            ? queue.offer(message.get())
                            : queue.offerWhileDisconnected(message.get());
            for (int i = 0; i < dropped; i++) {
                metrics.dropped(address);
            }
            PeerChannel current = channel;
            if (connected && current != null) {
                current.scheduleDrain();
            }
            return true;
        }

        void stop() {
            stopped = true;
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        public void opened(PeerChannel opened) {
            if (stopped) {
                opened.close();
                return;
            }
            connected = true;
            consecutiveFailures = 0;
            probeTask =
                    eventLoop.scheduleAtFixedRate(
                            () -> probe(opened), 0, PROBE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }

        private void probe(PeerChannel probed) {
            long silentNanos = System.nanoTime() - probed.lastReceivedNanos();
            if (silentNanos > TimeUnit.MILLISECONDS.toNanos(SILENCE_TIMEOUT_MILLIS)) {
                metrics.error(address, "silent");
                probed.close();
            } else {
                probed.sendProbe();
            }
        }

        @Override
        public void received(PeerChannel from, PeerEnvelope message) {
            executor.execute(() -> listener.receivedFrom(address, message, body -> send(body)));
        }

        @Override
        public void closed(PeerChannel lost) {
            connected = false;
            if (probeTask != null) {
                probeTask.cancel(false);
            }
            if (!stopped) {
                metrics.error(address, "closed");
                scheduleReconnect();
            }
        }
    }
}
