package org.ragwortmoor.directory;

import com.google.protobuf.ByteString;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.ragwortmoor.coordination.session.DirectoryView;
import org.ragwortmoor.coordination.session.Fleet;
import org.ragwortmoor.coordination.session.LeaseAnswer;
import org.ragwortmoor.coordination.session.PrimaryObservation;
import org.ragwortmoor.coordination.session.ProxyIdentity;
import org.ragwortmoor.coordination.session.SessionEngine;
import org.ragwortmoor.protocol.DirectoryCodec;
import org.ragwortmoor.protocol.PeerBody;
import org.ragwortmoor.protocol.PeerEnvelope;
import org.ragwortmoor.protocol.ProtocolError;
import org.ragwortmoor.protocol.QuotaCodec;
import org.ragwortmoor.protocol.wire.DirectoryMessage;
import org.ragwortmoor.protocol.wire.DirectoryUpdateMessage;
import org.ragwortmoor.protocol.wire.NeighbourMessage;
import org.ragwortmoor.protocol.wire.NodeReportMessage;
import org.ragwortmoor.protocol.wire.PrimaryObservationMessage;
import org.ragwortmoor.transport.PeerClient;
import org.ragwortmoor.transport.PeerListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Client of the directory in a proxy: locates the leader, reports the observed state of primaries
 * and applies updates. Confined to the proxy's event loop.
 */
final class DirectoryClient implements PeerListener {
    /** Interval between reports; failure detection waits for at most two of them. */
    private static final long REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time without an update after which the proxy searches for the leader. */
    private static final long LEADER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_100);

    /** Time without an update after which the directory is considered unresponsive. */
    private static final long ANSWER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(750);

    /** Time without a response from a primary after which an urgent report is sent. */
    private static final long URGENT_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(220);

    /** Minimum interval between urgent reports. */
    private static final long URGENT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** Number of reports whose answers are still accepted; an answer takes a round trip. */
    private static final int MAX_UNANSWERED_REPORTS = 16;

    /** Maximum number of the first report; leaves enough numbers for all that follow. */
    private static final long MAX_FIRST_REPORT_ID = Long.MAX_VALUE / 2;

    private static final Logger LOG = LoggerFactory.getLogger(DirectoryClient.class);

    private final ProxyIdentity self;
    private final String forwardingAddress;
    private final SessionEngine engine;
    private final MemberAddresses addresses;
    private final RelayedReports relayed;
    private final Consumer<DirectoryView> viewListener;
    private List<String> seeds;
    private Set<String> members = new LinkedHashSet<>();
    private PeerClient peers;
    private String leader = "";
    private long lastUpdateAt = System.nanoTime();
    private long lastReportAt = lastUpdateAt - REPORT_INTERVAL_NANOS;
    private final long incarnation = ThreadLocalRandom.current().nextLong();
    private final java.util.Map<Long, LeaseAnswer> unansweredReports = new HashMap<>();

    // An answer to a report of an earlier process of this proxy must not match one of this process.
    private long nextReportId = 1 + ThreadLocalRandom.current().nextLong(MAX_FIRST_REPORT_ID);

    private Fleet fleet = Fleet.UNKNOWN;
    private long neighboursHash;
    private boolean identityNeeded = true;
    private boolean lastReportUrgent;
    private Option<ProxyQuotas> quotas = Option.none();

    DirectoryClient(
            ProxyIdentity self,
            String forwardingAddress,
            SessionEngine engine,
            MemberAddresses addresses,
            List<String> seeds,
            RelayedReports relayed,
            Consumer<DirectoryView> viewListener) {
        this.relayed = relayed;
        this.self = self;
        this.forwardingAddress = forwardingAddress;
        this.engine = engine;
        this.addresses = addresses;
        this.seeds = seeds;
        this.viewListener = viewListener;
    }

    void start(PeerClient client) {
        peers = client;
    }

    void setSeeds(List<String> changed) {
        seeds = List.copyOf(changed);
    }

    /** Returns whether the leader has sent an update lately, also through another proxy. */
    boolean leaderResponsive() {
        long now = System.nanoTime();
        return now - lastUpdateAt < ANSWER_TIMEOUT_NANOS || relayed.answered(now);
    }

    /** Sets the quotas, whose use is reported and whose answers arrive here. */
    void setQuotas(ProxyQuotas newQuotas) {
        quotas = Option.some(newQuotas);
    }

    /** Sends a report if one is due. */
    void tick() {
        long now = System.nanoTime();
        boolean urgent = engine.reportUrgent(URGENT_SILENCE_NANOS);
        // A primary that responds again is also reported without delay.
        boolean sendSoon = urgent || lastReportUrgent || leader.isEmpty();
        if (now - lastReportAt < (sendSoon ? URGENT_INTERVAL_NANOS : REPORT_INTERVAL_NANOS)) {
            return;
        }
        lastReportUrgent = urgent;
        sendReport(now);
    }

    /** Sends a report although none is due. */
    void reportNow() {
        sendReport(System.nanoTime());
    }

    private void sendReport(long now) {
        lastReportAt = now;
        DirectoryMessage report = nextReport(now);
        if (!leader.isEmpty() && now - lastUpdateAt >= LEADER_TIMEOUT_NANOS) {
            LOG.warn("event=directory_lost leader={} view={}", leader, revisions());
            leader = "";
        }
        if (!leader.isEmpty()) {
            peers.send(leader, ProxyRegistry.toBody(report));
            return;
        }
        Set<String> targets = new LinkedHashSet<>(members);
        seeds.forEach(seed -> targets.add(addresses.of(seed)));
        targets.forEach(address -> peers.send(address, ProxyRegistry.toBody(report)));
        if (relayed.due(now)) {
            NodeReportMessage passedOn = report.getReport().toBuilder().setRelayed(true).build();
            relayed.send(
                    DirectoryMessage.newBuilder().setReport(passedOn).build().toByteString(), now);
        }
    }

    /**
     * Passes on the report of a proxy that does not reach the directory, if this one does.
     *
     * @param reply sends an update back to that proxy
     */
    void relay(String from, ByteString report, Consumer<ByteString> reply) {
        long now = System.nanoTime();
        if (!leader.isEmpty() && now - lastUpdateAt < LEADER_TIMEOUT_NANOS) {
            relayed.setDestination(from, reply, now);
            peers.send(leader, new PeerBody.Directory(report));
        }
    }

    /** Handles an update that another proxy has passed on. */
    void receivedThrough(String proxy, ByteString message) {
        DirectoryCodec.decodeMessage(message)
                .peekLeft(e -> LOG.warn("event=message_ignored reason=\"{}\"", e))
                .toOption()
                .filter(m -> m.hasUpdate() && m.getUpdate().getLeader())
                .forEach(
                        m -> {
                            if (!relayed.answered(System.nanoTime())) {
                                LOG.info("event=directory_reached_through proxy={}", proxy);
                            }
                            relayed.recordAnswer(proxy, System.nanoTime());
                            apply(m.getUpdate());
                        });
    }

    private DirectoryMessage nextReport(long now) {
        long id = nextReportId++;
        List<PrimaryObservation> observations = engine.observations(id);
        NodeReportMessage.Builder report =
                NodeReportMessage.newBuilder()
                        .setProxy(self.name())
                        .setIncarnation(incarnation)
                        .setId(id)
                        .setRoutesRevision(engine.view().routesRevision())
                        .setServersRevision(engine.view().serversRevision());
        report.setNeighboursHash(neighboursHash).setStopping(engine.stopping());
        if (identityNeeded || leader.isEmpty()) {
            report.setDomain(self.failureDomain()).setForwardingAddress(forwardingAddress);
        }
        for (PrimaryObservation observation : observations) {
            report.addPrimaries(
                    PrimaryObservationMessage.newBuilder()
                            .setGroup(observation.group())
                            .setServer(observation.server())
                            .setSilentMillis(
                                    (int) TimeUnit.NANOSECONDS.toMillis(observation.silentNanos()))
                            .setRefused(observation.refused())
                            .setHoldsLease(observation.holdsLease())
                            .setNeedsLease(observation.needsLease()));
        }
        quotas.forEach(q -> q.addUsage(report, id));
        recordUnanswered(id, now, observations);
        return DirectoryMessage.newBuilder().setReport(report).build();
    }

    private void recordUnanswered(long id, long now, List<PrimaryObservation> observations) {
        java.util.Map<String, String> requested = new HashMap<>();
        observations.stream()
                .filter(PrimaryObservation::needsLease)
                .forEach(o -> requested.put(o.group(), o.server()));
        unansweredReports.put(
                id, new LeaseAnswer(id, now, engine.clockOffsetMillis(), requested, 0));
        unansweredReports.keySet().removeIf(old -> old <= id - MAX_UNANSWERED_REPORTS);
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
                            String destination = m.getUpdate().getDestination();
                            if (!destination.isEmpty() && !destination.equals(self.name())) {
                                relayed.passOn(destination, directory.message());
                            } else if (m.hasUpdate()) {
                                handleUpdate(address, m.getUpdate());
                            }
                        });
    }

    private void handleUpdate(String address, DirectoryUpdateMessage update) {
        if (update.getMembersCount() > 0) {
            replaceMembers(new LinkedHashSet<>(update.getMembersList()));
        }
        if (!update.getLeader()) {
            return;
        }
        lastUpdateAt = System.nanoTime();
        if (!leader.equals(address)) {
            LOG.info("event=directory_found leader={}", address);
            leader = address;
        }
        apply(update);
    }

    private void apply(DirectoryUpdateMessage update) {
        if (QuotaCodec.concernsQuotas(update)) {
            quotas.forEach(q -> q.apply(update));
            return;
        }
        identityNeeded = update.getNeedsIdentity();
        updateFleet(update);
        engine.setLeasesRequired(update.getLeaseMillis() > 0);
        mergedView(update).forEach(viewListener);
        applyLeases(update);
        // The confirmation is for the routes of this update, which may not have been applied.
        boolean sameRoutes = engine.view().routesRevision() == update.getRoutesRevision();
        if (sameRoutes && update.getConfirmedReportId() != 0) {
            engine.reportConfirmed(update.getConfirmedReportId());
        }
    }

    private void applyLeases(DirectoryUpdateMessage update) {
        Set<String> withheld = Set.copyOf(update.getWithheldGroupsList());
        LeaseAnswer report = unansweredReports.remove(update.getReportId());
        // The leases are for the primaries of the directory's state at the time of the answer.
        boolean sameServers = engine.view().serversRevision() == update.getServersRevision();
        if (report == null || !sameServers) {
            engine.withholdLeases(withheld);
            return;
        }
        long nanos = TimeUnit.MILLISECONDS.toNanos(update.getLeaseMillis());
        engine.grantLeases(report.withDuration(nanos), withheld);
    }

    private void updateFleet(DirectoryUpdateMessage update) {
        Map<String, String> neighbours = fleet.neighbours();
        if (update.getNeighboursHash() != 0 && update.getNeighboursHash() != neighboursHash) {
            neighboursHash = update.getNeighboursHash();
            neighbours = LinkedHashMap.empty();
            for (NeighbourMessage neighbour : update.getNeighboursList()) {
                neighbours = neighbours.put(neighbour.getName(), neighbour.getAddress());
            }
            LOG.info("event=neighbours_changed count={}", neighbours.size());
            relayed.setCandidates(relayCandidates(update));
        }
        boolean counted = update.getProxies() > 0;
        fleet =
                new Fleet(
                        counted ? update.getProxies() : fleet.proxies(),
                        counted ? update.getDomains() : fleet.domains(),
                        neighbours);
    }

    private java.util.Map<String, String> relayCandidates(DirectoryUpdateMessage update) {
        java.util.Map<String, String> candidates = new HashMap<>();
        update.getNeighboursList().forEach(n -> candidates.put(n.getName(), n.getAddress()));
        update.getRelaysList().forEach(n -> candidates.put(n.getName(), n.getAddress()));
        candidates.remove(self.name());
        return candidates;
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

    /** Returns the current view with the changes of an update applied. */
    private Option<DirectoryView> mergedView(DirectoryUpdateMessage update) {
        DirectoryView current = engine.view();
        Either<ProtocolError, DirectoryView> merged =
                ViewUpdate.apply(update, current)
                        .map(
                                view ->
                                        new DirectoryView(
                                                view.routes(),
                                                view.routesRevision(),
                                                view.servers(),
                                                view.serversRevision(),
                                                fleet));
        return merged.peekLeft(e -> LOG.warn("event=update_ignored reason=\"{}\"", e)).toOption();
    }

    private String revisions() {
        return engine.view().routesRevision() + "/" + engine.view().serversRevision();
    }
}
