package org.ragwortmoor.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.ragwortmoor.coordination.control.Announcement;
import org.ragwortmoor.state.EndpointInfo;
import org.ragwortmoor.state.EndpointStatus;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A stand-in endpoint on one port. Connections, simulated statements, replication and faults share
 * one event loop, so that only the database needs a lock.
 */
public final class StandinServer implements AutoCloseable {
    private static final Logger LOG = LoggerFactory.getLogger(StandinServer.class);

    /** A closing server waits this long for its event loop to end, in seconds. */
    private static final long CLOSE_SECONDS = 5;

    private final StandinSettings settings;
    private final MultiThreadIoEventLoopGroup group;
    private final Journal journal;
    private final StandinDatabase database;
    private final ServerState state;
    private final Replicator replicator;
    private final Announcer announcer;
    private final Channel listener;
    private final long incarnation;

    private StandinServer(
            StandinSettings settings,
            MultiThreadIoEventLoopGroup group,
            Journal journal,
            Recovered recovered,
            long incarnation)
            throws IOException {
        this.settings = settings;
        this.group = group;
        this.journal = journal;
        this.incarnation = incarnation;
        this.database = new StandinDatabase(journal, recovered);
        EventLoop loop = group.next();
        this.state = new ServerState(settings, database, loop, incarnation);
        this.replicator = new Replicator(state);
        this.listener = listen(loop);
        this.announcer = new Announcer(state, this::announcementNow);
        database.onChange(() -> loop.execute(this::follow));
        loop.execute(
                () -> {
                    state.onFault(replicator::check);
                    state.onFault(announcer::announce);
                    follow();
                    announcer.start();
                });
    }

    /**
     * Starts an endpoint.
     *
     * @param random source of the incarnation of an endpoint without earlier data
     * @throws IOException if the port is taken or the data folder cannot be used
     */
    public static StandinServer start(StandinSettings settings, RandomGenerator random)
            throws IOException {
        Journal journal = Journal.NONE;
        Recovered recovered = Recovered.EMPTY;
        long incarnation = FileJournal.nonZero(random);
        if (settings.dataFolder().isDefined()) {
            FileJournal file = FileJournal.open(settings.dataFolder().get(), random);
            journal = file;
            recovered = file.recovered();
            incarnation = file.incarnation();
        }
        MultiThreadIoEventLoopGroup group =
                new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            return new StandinServer(settings, group, journal, recovered, incarnation);
        } catch (IOException e) {
            journal.close();
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).awaitUninterruptibly();
            throw e;
        }
    }

    private Channel listen(EventLoop loop) throws IOException {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                Frames.waterMark(settings.frameLimits()))
                        .childHandler(
                                Frames.initializer(
                                        settings.frameLimits(), () -> new StandinConnection(state)))
                        .bind(settings.host(), settings.port())
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "cannot listen on " + settings.host() + ":" + settings.port(), bound.cause());
        }
        return bound.channel();
    }

    private void follow() {
        replicator.check();
        announcer.check();
    }

    /** Returns the database, for tests and inspection. */
    public StandinDatabase database() {
        return database;
    }

    /** Returns the IP number and port on which the endpoint listens. */
    public String address() {
        return settings.host() + ":" + ((InetSocketAddress) listener.localAddress()).getPort();
    }

    /** Returns the incarnation, which changes when the endpoint lost its data. */
    public long incarnation() {
        return incarnation;
    }

    /** Returns the number of statements that arrived after the grace of a leaving endpoint. */
    public long lateWork() {
        return state.lateWork.get();
    }

    /** Returns the number of frames that were refused as malformed or too large. */
    public long badFrames() {
        return state.badFrames.get();
    }

    /** Switches a fault; the future ends when it is in effect. */
    public CompletableFuture<Void> apply(FaultSwitch fault) {
        return CompletableFuture.runAsync(() -> state.apply(fault), state.loop);
    }

    /** Returns the status as announced. */
    public CompletableFuture<EndpointStatus> status() {
        return CompletableFuture.supplyAsync(state::status, state.loop);
    }

    /** Returns the announcement that the endpoint would send now. */
    public CompletableFuture<Announcement> announcement() {
        return CompletableFuture.supplyAsync(this::announcementNow, state.loop);
    }

    private Announcement announcementNow() {
        EndpointStatus status = state.status();
        EndpointInfo info =
                new EndpointInfo(
                        settings.endpoint(),
                        incarnation,
                        address(),
                        settings.failureDomain(),
                        settings.slots(),
                        settings.connectionLimit(),
                        status.leaving());
        return new Announcement(
                settings.group(),
                settings.groupSize(),
                info,
                status,
                replicator.sourceSilentMillis());
    }

    /** Returns the state of the endpoint in words, one line per item. */
    public CompletableFuture<String> stateDump() {
        return announcement()
                .thenApply(
                        a ->
                                String.join(
                                        "\n",
                                        "group: " + a.group() + " of " + a.size(),
                                        "endpoint: " + a.info(),
                                        "status: " + a.status(),
                                        "promise: " + database.promise(),
                                        "discarded entries: " + database.discardedEntries(),
                                        "late work: " + lateWork(),
                                        "bad frames: " + badFrames()));
    }

    /** Closes all connections and ends the server; what the journal has stays there. */
    @Override
    public void close() {
        state.loop.execute(
                () -> {
                    replicator.close();
                    announcer.close();
                });
        listener.close().awaitUninterruptibly();
        state.channels.close().awaitUninterruptibly(CLOSE_SECONDS, TimeUnit.SECONDS);
        Future<?> ended = group.shutdownGracefully(0, CLOSE_SECONDS, TimeUnit.SECONDS);
        if (!ended.awaitUninterruptibly(CLOSE_SECONDS, TimeUnit.SECONDS)) {
            LOG.warn("event loop of {} did not end in time", settings.endpoint());
        }
        journal.close();
    }
}
