package org.ragwortmoor.directory;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ragwortmoor.coordination.session.DirectoryView;
import org.ragwortmoor.coordination.session.SessionEngine;
import org.ragwortmoor.protocol.DirectoryCodec;
import org.ragwortmoor.protocol.PeerBody;
import org.ragwortmoor.protocol.PeerEnvelope;
import org.ragwortmoor.protocol.ProtocolError;
import org.ragwortmoor.protocol.wire.DirectoryMessage;
import org.ragwortmoor.protocol.wire.DirectoryUpdateMessage;
import org.ragwortmoor.protocol.wire.NodeReportMessage;
import org.ragwortmoor.protocol.wire.PrimaryObservationMessage;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.routes.RouteTable;
import org.ragwortmoor.transport.PeerClient;
import org.ragwortmoor.transport.PeerListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A proxy's side of the directory: finds the leader, reports what the proxy sees, and takes
 * updates. Confined to the proxy's event loop.
 */
final class DirectoryClient implements PeerListener {
    /** Interval of reports, in nanoseconds; failure detection waits for two of them at most. */
    private static final long REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time without an update after which the leader is looked for, in nanoseconds. */
    private static final long LEADER_NANOS = TimeUnit.MILLISECONDS.toNanos(1_100);

    /** Time without an update after which the directory counts as not answering, in nanoseconds. */
    private static final long ANSWER_NANOS = TimeUnit.MILLISECONDS.toNanos(750);

    /** Silence of a primary that is reported at once, in nanoseconds. */
    private static final long URGENT_NANOS = TimeUnit.MILLISECONDS.toNanos(220);

    /** Shortest interval of urgent reports, in nanoseconds. */
    private static final long URGENT_INTERVAL = TimeUnit.MILLISECONDS.toNanos(150);

    /**
     * Proxies that share a server while their number is not known; the usual installation has 7.
     */
    private static final int DEFAULT_PROXIES = 10;

    private static final Logger LOG = LoggerFactory.getLogger(DirectoryClient.class);

    private final String self;
    private final SessionEngine engine;
    private final MemberAddresses addresses;
    private final Consumer<DirectoryView> updates;
    private List<String> seeds;
    private Set<String> members = new LinkedHashSet<>();
    private PeerClient peers;
    private String leader = "";
    private long heardAt = System.nanoTime();
    private long reportedAt = heardAt - REPORT_NANOS;
    private int proxies;
    private boolean wasUrgent;

    DirectoryClient(
            String self,
            SessionEngine engine,
            MemberAddresses addresses,
            List<String> seeds,
            Consumer<DirectoryView> updates) {
        this.self = self;
        this.engine = engine;
        this.addresses = addresses;
        this.seeds = seeds;
        this.updates = updates;
    }

    void start(PeerClient client) {
        peers = client;
    }

    void reseed(List<String> changed) {
        seeds = List.copyOf(changed);
    }

    /** Returns whether the leader has answered lately. */
    boolean answers() {
        return System.nanoTime() - heardAt < ANSWER_NANOS;
    }

    /** Sends a report if one is due. */
    void tick() {
        long now = System.nanoTime();
        List<SessionEngine.PrimaryObservation> seen = engine.observations();
        boolean urgent =
                seen.stream().anyMatch(o -> o.silentNanos() >= URGENT_NANOS || o.refused());
        // The end of a silence is reported at once too.
        boolean soon = urgent || wasUrgent || leader.isEmpty();
        if (now - reportedAt < (soon ? URGENT_INTERVAL : REPORT_NANOS)) {
            return;
        }
        wasUrgent = urgent;
        reportedAt = now;
        PeerBody report = ProxyRegistry.body(message(seen));
        if (!leader.isEmpty() && now - heardAt >= LEADER_NANOS) {
            LOG.warn("event=directory_lost leader={} view={}", leader, describe());
            leader = "";
        }
        if (!leader.isEmpty()) {
            peers.send(leader, report);
            return;
        }
        Set<String> asked = new LinkedHashSet<>(members);
        seeds.forEach(seed -> asked.add(addresses.of(seed)));
        asked.forEach(address -> peers.send(address, report));
    }

    private DirectoryMessage message(List<SessionEngine.PrimaryObservation> seen) {
        NodeReportMessage.Builder report =
                NodeReportMessage.newBuilder()
                        .setProxy(self)
                        .setRoutesRevision(engine.view().routesRevision())
                        .setServersRevision(engine.view().serversRevision());
        for (SessionEngine.PrimaryObservation observation : seen) {
            report.addPrimaries(
                    PrimaryObservationMessage.newBuilder()
                            .setGroup(observation.group())
                            .setServer(observation.server())
                            .setSilentMillis(
                                    (int) TimeUnit.NANOSECONDS.toMillis(observation.silentNanos()))
                            .setRefused(observation.refused()));
        }
        return DirectoryMessage.newBuilder().setReport(report).build();
    }

    @Override
    public void received(PeerEnvelope message, Reply reply) {
        LOG.warn("event=message_ignored sender={}", message.sender());
    }

    @Override
    public void receivedFrom(String address, PeerEnvelope message, Reply reply) {
        if (!(message.body() instanceof PeerBody.Directory directory)) {
            return;
        }
        DirectoryCodec.decodeMessage(directory.message())
                .peekLeft(e -> LOG.warn("event=message_ignored reason=\"{}\"", e))
                .forEach(
                        m -> {
                            if (m.hasUpdate()) {
                                updated(address, m.getUpdate());
                            }
                        });
    }

    private void updated(String address, DirectoryUpdateMessage update) {
        if (update.getMembersCount() > 0) {
            replaceMembers(new LinkedHashSet<>(update.getMembersList()));
        }
        if (!update.getLeader()) {
            return;
        }
        heardAt = System.nanoTime();
        if (!leader.equals(address)) {
            LOG.info("event=directory_found leader={}", address);
            leader = address;
        }
        if (update.getProxies() > 0) {
            proxies = update.getProxies();
        }
        view(update).forEach(updates);
    }

    private void replaceMembers(Set<String> changed) {
        for (String address : members) {
            boolean seed = seeds.stream().anyMatch(s -> addresses.of(s).equals(address));
            if (!changed.contains(address) && !seed) {
                peers.disconnect(address);
            }
        }
        members = changed;
    }

    /** Returns the present view with what the update changes. */
    private Option<DirectoryView> view(DirectoryUpdateMessage update) {
        DirectoryView present = engine.view();
        boolean routes = update.hasRoutes();
        boolean servers = update.getHasServers();
        Either<ProtocolError, RouteTable> table =
                routes
                        ? DirectoryCodec.decodeRoutes(update.getRoutes())
                        : Either.right(present.routes());
        Either<ProtocolError, List<ServerRecord>> records =
                servers
                        ? DirectoryCodec.decodeServers(update.getServersList())
                        : Either.right(present.servers());
        return table.flatMap(
                        t ->
                                records.map(
                                        r ->
                                                new DirectoryView(
                                                        t,
                                                        routes
                                                                ? update.getRoutesRevision()
                                                                : present.routesRevision(),
                                                        r,
                                                        servers
                                                                ? update.getServersRevision()
                                                                : present.serversRevision(),
                                                        proxies == 0 ? DEFAULT_PROXIES : proxies)))
                .peekLeft(e -> LOG.warn("event=update_ignored reason=\"{}\"", e))
                .toOption();
    }

    private String describe() {
        return engine.view().routesRevision() + "/" + engine.view().serversRevision();
    }
}
