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

/** Joins the control group, and as its leader lets others join. Confined to the loop. */
final class MembershipRunner {
    /** Interval of requests to join, in nanoseconds. */
    private static final long JOIN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private final MembershipReconciler reconciler = new MembershipReconciler();
    private final DirectorySettings settings;
    private final MemberAddresses addresses;
    private final PeerClient peers;
    private List<String> seeds;
    private long joinedAt = System.nanoTime();

    MembershipRunner(DirectorySettings settings, MemberAddresses addresses, PeerClient peers) {
        this.settings = settings;
        this.addresses = addresses;
        this.peers = peers;
        this.seeds = settings.seeds();
    }

    void reseed(List<String> changed) {
        seeds = List.copyOf(changed);
    }

    void restart() {
        reconciler.reset();
    }

    void asked(JoinMessage join, long now) {
        reconciler.recordJoinRequest(
                new MemberId(join.getNode(), join.getIncarnation()), join.getAddress(), now);
    }

    Option<MembershipChange> next(ClusterStatus status) {
        return reconciler.nextChange(status);
    }

    /** A process outside of the configuration hears from no leader and cannot become one. */
    void askToJoin(ReplicatedLog log, long now) {
        boolean blank = log.node().lastPosition().index() == 0;
        MemberId self = log.node().self();
        boolean member = log.node().configuration().member(self).isDefined();
        boolean led = log.leader().isDefined();
        boolean wanting = (!member || !led) && !(blank && settings.bootstrap() && isSeed());
        if (!wanting || now - joinedAt < JOIN_NANOS) {
            return;
        }
        joinedAt = now;
        DirectoryMessage join =
                DirectoryMessage.newBuilder()
                        .setJoin(
                                JoinMessage.newBuilder()
                                        .setNode(self.node())
                                        .setIncarnation(self.incarnation())
                                        .setAddress(addresses.of(self.node())))
                        .build();
        for (String address : knownPeers(log)) {
            peers.send(address, ProxyRegistry.body(join));
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
