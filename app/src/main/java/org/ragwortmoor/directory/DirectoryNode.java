package org.ragwortmoor.directory;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ragwortmoor.coordination.consensus.ConsensusEvent;
import org.ragwortmoor.coordination.consensus.ConsensusMessage;
import org.ragwortmoor.protocol.ConsensusCodec;
import org.ragwortmoor.protocol.DirectoryCodec;
import org.ragwortmoor.protocol.PeerBody;
import org.ragwortmoor.protocol.PeerEnvelope;
import org.ragwortmoor.protocol.wire.DirectoryMessage;
import org.ragwortmoor.protocol.wire.JoinMessage;
import org.ragwortmoor.protocol.wire.NodeReportMessage;
import org.ragwortmoor.state.directory.DirectoryCommand;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.log.Member;
import org.ragwortmoor.state.log.MemberId;
import org.ragwortmoor.state.log.StorageError;
import org.ragwortmoor.transport.PeerClient;
import org.ragwortmoor.transport.PeerListener;
import org.ragwortmoor.transport.PeerServer;
import org.ragwortmoor.transport.StatementClient;
import org.ragwortmoor.transport.TransportMetrics;
import org.ragwortmoor.transport.TransportSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A directory process. It replicates the directory and, as leader, decides about members, servers
 * and promotions. Everything runs on one event loop, so decisions are made in the order of events.
 */
public final class DirectoryNode implements AutoCloseable {
    /** Short compared with the heartbeat interval of 80 ms. */
    private static final long TICK_INTERVAL_MILLIS = 20;

    /** Delay before a failed data folder is opened again. */
    private static final long REOPEN_DELAY_MILLIS = 500;

    /** Time allowed at a stop to transfer leadership and answer requests in progress. */
    private static final long STOP_DELAY_MILLIS = 400;

    private static final Logger LOG = LoggerFactory.getLogger(DirectoryNode.class);

    private final DirectorySettings settings;
    private final MemberAddresses addresses;
    private final EventLoop loop;
    private final PeerClient peers;
    private final PeerServer server;
    private final DirectoryRequests requests;
    private final LeaderDuties leaderDuties;
    private final MembershipManager membership;
    private DirectoryLog log;
    private boolean leading;
    private boolean closed;

    /**
     * Starts the process.
     *
     * @param start start time of the process
     * @param loops an event loop group with one loop
     * @param guards limits on connections
     * @param registry registry for the transport metrics
     * @throws IOException if an address is in use
     */
    public DirectoryNode(
            DirectorySettings settings,
            ProcessStart start,
            EventLoopGroup loops,
            PromotionClient promotions,
            ConnectionGuards guards,
            PrometheusRegistry registry)
            throws IOException {
        LOG.info("event=start role=directory {}", settings.summary());
        this.settings = settings;
        this.addresses = new MemberAddresses(settings.peerPort());
        this.loop = loops.next();
        String host = settings.controlAddress().ip().getHostAddress();
        TransportSettings transport = TransportSettings.forPeers(host);
        TransportMetrics metrics = new TransportMetrics(registry);
        requests = new DirectoryRequests(this, registry);
        Listener listener = new Listener();
        String self = settings.controlAddress().toString();
        peers = PeerClient.onSharedLoop(transport, self, loops, listener, metrics, new Random());
        membership = new MembershipManager(settings, addresses, peers);
        leaderDuties =
                new LeaderDuties(
                        this, settings, new StatementClient(loops, host), promotions, loop);
        server =
                PeerServer.onSharedLoop(
                        transport,
                        settings.peerPort(),
                        self,
                        loops,
                        listener,
                        metrics,
                        guards.peers());
        loop.execute(() -> open(start.at()));
        loop.scheduleAtFixedRate(
                this::tick, TICK_INTERVAL_MILLIS, TICK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Opens the log; no log of this member has been open since {@code closedSince}. */
    private void open(long closedSince) {
        if (closed) {
            return;
        }
        Either<StorageError, DirectoryLog> opened =
                DirectoryLog.open(
                        settings,
                        addresses,
                        closedSince,
                        new DirectoryLogEvents(peers, addresses, this::applied));
        if (opened.isLeft()) {
            LOG.warn(
                    "event=storage_unavailable reason=\"{}\" retry_ms={}",
                    opened.getLeft().message(),
                    REOPEN_DELAY_MILLIS);
            loop.schedule(() -> open(closedSince), REOPEN_DELAY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        log = opened.get();
        LOG.info(
                "event=log_opened self={} last={} configuration={}",
                log.log().node().self(),
                log.log().node().lastPosition(),
                log.log().node().configuration().members());
    }

    /** Replaces the seeds after a change of the settings. */
    public void setSeeds(List<String> newSeeds) {
        loop.execute(
                () -> {
                    LOG.info("event=reload seeds={}", newSeeds);
                    membership.setSeeds(newSeeds);
                });
    }

    /** Returns the requests of servers and operators, which are made on the event loop. */
    public DirectoryApi api() {
        return requests;
    }

    /** Returns the state as text lines, for the state dump. */
    public List<String> dump() {
        List<String> lines = new ArrayList<>();
        if (log != null) {
            lines.addAll(log.log().dump(System.nanoTime()).lines().toList());
            lines.add("routes version=" + log.state().routes().version());
            log.state().servers().values().forEach(s -> lines.add(s.toString()));
            lines.addAll(leaderDuties.dump());
        }
        return lines;
    }

    boolean leads() {
        return log != null && log.leads();
    }

    /** See {@link DirectoryLog#quorumContactAt}. */
    Option<Long> quorumContactAt() {
        return log == null ? Option.none() : log.quorumContactAt();
    }

    /** Returns the term of the control group that this process knows; 0 if it has no log. */
    long term() {
        return log == null ? 0 : log.log().node().term();
    }

    /** Contacts the members without waiting for the next heartbeat. */
    void confirmLeadership() {
        log.handle(new ConsensusEvent.ConfirmLeadership());
    }

    DirectoryState state() {
        return log == null ? DirectoryState.EMPTY : log.state();
    }

    void propose(DirectoryCommand command, Consumer<Boolean> done) {
        if (log == null) {
            done.accept(false);
            return;
        }
        log.propose(command, done);
    }

    /** Sends a message to the leader; returns false if none is known. */
    boolean sendToLeader(DirectoryMessage message) {
        if (log == null) {
            return false;
        }
        Option<MemberId> leader = log.log().leader();
        boolean other = leader.exists(id -> !id.equals(log.log().node().self()));
        return other
                && peers.send(addresses.of(leader.get().node()), ProxyRegistry.toBody(message));
    }

    private void tick() {
        try {
            requests.expire(System.nanoTime());
            if (log != null) {
                advance();
            }
        } catch (RuntimeException e) {
            recover("tick", e);
        } catch (OutOfMemoryError e) {
            // An error that is not caught would end the periodic task.
            recover("tick", new IllegalStateException(e));
        }
    }

    private void advance() {
        long now = System.nanoTime();
        if (log.log().failure().isDefined()) {
            reopen(log.log().failure().get().message());
            return;
        }
        log.handle(new ConsensusEvent.Tick());
        updateLeadership();
        if (leading) {
            membership.nextChange(log.log().status(now)).forEach(log::proposeMembershipChange);
            performDuties(now);
        } else {
            membership.requestJoinIfNeeded(log.log(), now);
        }
    }

    /** Performs the leader's duties; if they fail, a successor starts with a state of its own. */
    private void performDuties(long now) {
        try {
            leaderDuties.tick(now);
        } catch (RuntimeException e) {
            LOG.error("event=duties_failed outcome=leadership_transferred", e);
            log.handle(new ConsensusEvent.TransferLeadership());
        }
    }

    /**
     * Opens the log anew after an unexpected error. What is in memory may be inconsistent; what is
     * on disk is not.
     */
    private void recover(String during, RuntimeException error) {
        LOG.error("event=unexpected_error during={} outcome=log_reopened", during, error);
        if (log != null) {
            reopen("unexpected error: " + error);
        }
    }

    private void reopen(String reason) {
        LOG.warn("event=storage_failed reason=\"{}\"", reason);
        log.close();
        log = null;
        leading = false;
        long closedAt = System.nanoTime();
        loop.schedule(() -> open(closedAt), REOPEN_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void updateLeadership() {
        boolean nowLeading = log.leads();
        if (nowLeading == leading) {
            return;
        }
        leading = nowLeading;
        LOG.info("event={} term={}", leading ? "leading" : "not_leading", log.log().node().term());
        if (leading) {
            membership.reset();
            leaderDuties.elected(System.nanoTime());
        }
    }

    /** Returns the members of the control group, as far as this process knows. */
    List<Member> members() {
        return log == null ? List.of() : log.log().node().configuration().members();
    }

    private void applied(DirectoryCommand command, long index) {
        leaderDuties.follow();
        if (leading) {
            leaderDuties.applied(command, index);
        }
    }

    private final class Listener implements PeerListener {
        @Override
        public void received(PeerEnvelope message, Reply reply) {
            if (log == null) {
                return;
            }
            if (message.body() instanceof PeerBody.Consensus consensus) {
                ConsensusCodec.decode(consensus.message().toByteArray())
                        .peek(this::consensus)
                        .peekLeft(e -> LOG.warn("event=message_ignored reason=\"{}\"", e));
            } else if (message.body() instanceof PeerBody.Directory directory) {
                DirectoryCodec.decodeMessage(directory.message())
                        .peek(m -> directory(message.sender(), m, reply))
                        .peekLeft(e -> LOG.warn("event=message_ignored reason=\"{}\"", e));
            }
        }

        private void consensus(ConsensusMessage message) {
            try {
                log.handle(new ConsensusEvent.Received(message));
                updateLeadership();
                if (leading) {
                    leaderDuties.answerQuotas(System.nanoTime());
                }
            } catch (RuntimeException e) {
                recover("message of " + message.from(), e);
            }
        }

        private void directory(String sender, DirectoryMessage message, Reply reply) {
            try {
                directory(message, reply);
            } catch (RuntimeException e) {
                LOG.error("event=message_failed sender={} outcome=ignored", sender, e);
            }
        }

        private void directory(DirectoryMessage message, Reply reply) {
            updateLeadership();
            switch (message.getBodyCase()) {
                case REPORT -> report(message.getReport(), reply);
                case JOIN -> join(message);
                case REQUEST ->
                        requests.serveForwarded(
                                message.getRequest(), m -> reply.send(ProxyRegistry.toBody(m)));
                case ANSWER -> requests.handleAnswer(message.getAnswer());
                default -> LOG.warn("event=message_ignored body={}", message.getBodyCase());
            }
        }

        private void join(DirectoryMessage message) {
            JoinMessage join = message.getJoin();
            if (leading) {
                membership.recordJoinRequest(join, System.nanoTime());
            } else if (!join.getNode().equals(settings.controlAddress().toString())) {
                sendToLeader(message);
            }
        }

        private void report(NodeReportMessage report, Reply reply) {
            if (leading) {
                leaderDuties.report(report, reply);
            } else {
                leaderDuties.redirect(report, reply);
            }
        }
    }

    /**
     * Begins a planned stop. Leadership is transferred so that the group does not have to wait for
     * an election timeout.
     *
     * @return a future that completes when the process may exit
     */
    public CompletableFuture<Void> stop() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(
                () -> {
                    LOG.info("event=stop leads={}", leads());
                    if (log != null) {
                        log.handle(new ConsensusEvent.TransferLeadership());
                    }
                    loop.schedule(
                            () -> {
                                close();
                                done.complete(null);
                            },
                            STOP_DELAY_MILLIS,
                            TimeUnit.MILLISECONDS);
                });
        return done;
    }

    @Override
    public void close() {
        closed = true;
        requests.close();
        if (log != null) {
            log.close();
            log = null;
        }
    }
}
