package org.ragwortmoor.directory;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.ragwortmoor.coordination.directory.PrimaryLeaseTable;
import org.ragwortmoor.protocol.wire.DirectoryMessage;
import org.ragwortmoor.protocol.wire.DirectoryUpdateMessage;
import org.ragwortmoor.protocol.wire.NodeReportMessage;
import org.ragwortmoor.state.directory.DirectoryCommand;
import org.ragwortmoor.state.directory.FleetSize;
import org.ragwortmoor.state.log.Member;
import org.ragwortmoor.transport.PeerListener;
import org.ragwortmoor.transport.StatementClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What a directory process does only while it leads the control group: it answers the reports of
 * the proxies, grants leases on primaries, promotes servers and counts the proxies. Confined to the
 * event loop.
 */
final class LeaderDuties implements PromotionExecutor.Host {
    private static final Logger LOG = LoggerFactory.getLogger(LeaderDuties.class);

    private final DirectoryNode node;
    private final ProxyRegistry proxies;
    private final PromotionExecutor promotionExecutor;
    private final LeaderQuotas quotas;
    private FleetSize proposedSize = FleetSize.UNKNOWN;

    LeaderDuties(
            DirectoryNode node,
            DirectorySettings settings,
            StatementClient statements,
            PromotionClient promotions,
            EventLoop loop) {
        this.node = node;
        PrimaryLeaseTable leases =
                new PrimaryLeaseTable(
                        settings.platformFencing() ? 0 : settings.primaryLeaseMillis());
        this.proxies = new ProxyRegistry(leases, node::quorumContactAt);
        this.quotas = new LeaderQuotas(settings.quotas());
        this.promotionExecutor =
                new PromotionExecutor(
                        settings.controlAddress().toString(),
                        leases,
                        statements,
                        promotions,
                        loop,
                        this);
    }

    /** Starts anew after this process was elected. */
    void elected(long now) {
        promotionExecutor.reset(now);
        quotas.elected(node.term(), node.state(), now);
        proxies.elected(node.state(), memberAddresses(), now);
    }

    /** Does the periodic work. */
    void tick(long now) {
        promotionExecutor.tick(node.state(), now);
        countProxies(now);
        answerQuotas(now);
        proxies.pushUpdates(node.state(), memberAddresses(), now);
    }

    /** Answers the reports about quotas that a majority has confirmed since they arrived. */
    void answerQuotas(long now) {
        FleetSize recorded = node.state().fleet();
        boolean reduced = proposedSize.proxies() > 0 && proposedSize.proxies() < recorded.proxies();
        quotas.setState(node.state(), reduced ? proposedSize : recorded);
        node.quorumContactAt().forEach(contactAt -> quotas.answer(contactAt, now));
        if (quotas.confirmationDue(now)) {
            node.confirmLeadership();
        }
    }

    /** Handles the commit of a command. */
    void applied(DirectoryCommand command, long index) {
        if (command instanceof DirectoryCommand.OrderPromotion order
                && order.holder().equals(promotionExecutor.self())) {
            promotionExecutor.orderCommitted(order.group(), order.server(), index);
        }
    }

    /** Follows the changes of the directory, also while another process leads. */
    void follow() {
        proxies.follow(node.state());
    }

    /** Answers the report of a proxy. */
    void report(NodeReportMessage report, PeerListener.Reply reply) {
        long now = System.nanoTime();
        promotionExecutor.recordObservations(report, now);
        proxies.answerReport(report, reply, node.state(), memberAddresses(), now);
        if (quotas.record(report, reply, now)) {
            answerQuotas(now);
        }
    }

    /**
     * Answers a report with the members of the group, because this process does not lead. The
     * report is answered again if this process is elected soon.
     */
    void redirect(NodeReportMessage report, PeerListener.Reply reply) {
        proxies.recordEarlyReport(report, reply, System.nanoTime());
        DirectoryUpdateMessage members =
                DirectoryUpdateMessage.newBuilder().addAllMembers(memberAddresses()).build();
        reply.send(ProxyRegistry.toBody(DirectoryMessage.newBuilder().setUpdate(members).build()));
    }

    List<String> dump() {
        List<String> lines = new ArrayList<>(promotionExecutor.dump());
        lines.addAll(quotas.describe(System.nanoTime()));
        return lines;
    }

    @Override
    public void propose(DirectoryCommand command) {
        node.propose(command, done -> {});
    }

    @Override
    public void announceWithheldLeases() {
        proxies.announceWithheldLeases(node.state(), memberAddresses());
    }

    @Override
    public BooleanSupplier leadership() {
        long term = node.term();
        return () -> node.leads() && node.term() == term;
    }

    private List<String> memberAddresses() {
        return node.members().stream().map(Member::address).toList();
    }

    private void countProxies(long now) {
        FleetSize recorded = node.state().fleet();
        for (FleetSize counted : proxies.changedSize(recorded, now)) {
            // A proxy that is not counted any more may still use tokens.
            boolean tokensLeft = quotas.memberCount() > counted.proxies();
            if (!counted.equals(proposedSize) && !tokensLeft) {
                proposedSize = counted;
                LOG.info(
                        "event=proxies_counted count={} domains={} before={}",
                        counted.proxies(),
                        counted.domains(),
                        recorded.proxies());
                node.propose(
                        new DirectoryCommand.SetFleetSize(counted),
                        done -> proposedSize = FleetSize.UNKNOWN);
            }
        }
    }
}
