package org.ragwortmoor.directory;

import io.vavr.control.Option;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.coordination.consensus.ClusterStatus;
import org.ragwortmoor.coordination.consensus.MembershipChange;
import org.ragwortmoor.coordination.consensus.ReplicatedLog;
import org.ragwortmoor.coordination.directory.MembershipReconciler;
import org.ragwortmoor.protocol.wire.DirectoryMessage;
import org.ragwortmoor.protocol.wire.JoinMessage;
import org.ragwortmoor.state.log.Member;
import org.ragwortmoor.state.log.MemberId;
import org.ragwortmoor.transport.PeerClient;

/**
 * Requests that this process join the control group, and as leader processes the join requests of
 * others. Confined to the event loop.
 */
final class MembershipManager {
    /** Interval between join requests. */
    private static final long JOIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final MembershipReconciler reconciler = new MembershipReconciler();
    private final DirectorySettings settings;
    private final MemberAddresses addresses;
    private final PeerClient peers;
    private List<String> seeds;
    private long lastJoinRequestAt = System.nanoTime();

    MembershipManager(DirectorySettings settings, MemberAddresses addresses, PeerClient peers) {
        this.settings = settings;
        this.addresses = addresses;
        this.peers = peers;
        this.seeds = settings.seeds();
    }

    void setSeeds(List<String> newSeeds) {
        seeds = List.copyOf(newSeeds);
    }

    void reset() {
        reconciler.reset();
    }

    void recordJoinRequest(JoinMessage join, long now) {
        reconciler.recordJoinRequest(
                new MemberId(join.getNode(), join.getIncarnation()), join.getAddress(), now);
    }

    Option<MembershipChange> nextChange(ClusterStatus status) {
        return reconciler.nextChange(status);
    }

    /**
     * Sends a join request if one is due. A process that is not in the configuration is contacted
     * by no leader and cannot become one.
     */
    void requestJoinIfNeeded(ReplicatedLog log, long now) {
        boolean logEmpty = log.node().lastPosition().index() == 0;
        MemberId self = log.node().self();
        boolean isMember = log.node().configuration().member(self).isDefined();
        boolean leaderKnown = log.leader().isDefined();
        boolean needsJoin =
                (!isMember || !leaderKnown) && !(logEmpty && settings.bootstrap() && isSeed());
        if (!needsJoin || now - lastJoinRequestAt < JOIN_INTERVAL_NANOS) {
            return;
        }
        lastJoinRequestAt = now;
        DirectoryMessage join =
                DirectoryMessage.newBuilder()
                        .setJoin(
                                JoinMessage.newBuilder()
                                        .setNode(self.node())
                                        .setIncarnation(self.incarnation())
                                        .setAddress(addresses.of(self.node())))
                        .build();
        for (String address : knownPeers(log)) {
            peers.send(address, ProxyRegistry.toBody(join));
        }
    }

    private boolean isSeed() {
        return settings.seeds().contains(settings.controlAddress().toString());
    }

    private Set<String> knownPeers(ReplicatedLog log) {
        Set<String> known = new LinkedHashSet<>();
        log.node().configuration().members().stream().map(Member::address).forEach(known::add);
        seeds.forEach(seed -> known.add(addresses.of(seed)));
        known.remove(addresses.of(settings.controlAddress().toString()));
        return known;
    }
}
