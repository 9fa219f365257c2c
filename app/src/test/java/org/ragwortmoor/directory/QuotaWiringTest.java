package org.ragwortmoor.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.coordination.quota.QuotaSettings;
import org.ragwortmoor.coordination.session.DirectoryView;
import org.ragwortmoor.coordination.session.Fleet;
import org.ragwortmoor.coordination.workspace.OperationGate;
import org.ragwortmoor.protocol.DirectoryCodec;
import org.ragwortmoor.protocol.PeerBody;
import org.ragwortmoor.protocol.QuotaCodec;
import org.ragwortmoor.protocol.wire.DirectoryUpdateMessage;
import org.ragwortmoor.protocol.wire.NodeReportMessage;
import org.ragwortmoor.state.directory.DirectoryCommand;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.directory.FleetSize;
import org.ragwortmoor.state.routes.RouteTable;
import org.ragwortmoor.state.workspace.RateLimit;
import org.ragwortmoor.state.workspace.Workspace;

/** Guards against quotas whose messages do not reach the other side, or are sent unasked. */
class QuotaWiringTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final EventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final List<DirectoryUpdateMessage> answers = new ArrayList<>();
    private final List<String> outcomes = new ArrayList<>();
    private long nextReport = 1;

    @AfterEach
    void stop() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static RouteTable table(Option<RateLimit> limit) {
        Workspace workspace = new Workspace("w", List.of("key"), 0, limit);
        return new RouteTable(
                1, List.of(), List.of(), 0, Option.some(List.of(workspace)), "source");
    }

    private ProxyQuotas proxy(double window, RouteTable table) {
        ProxyQuotas quotas = new ProxyQuotas(window, loop, () -> {}, new PrometheusRegistry());
        quotas.update(new DirectoryView(table, 1, List.of(), 1, Fleet.UNKNOWN));
        return quotas;
    }

    private NodeReportMessage report(ProxyQuotas proxy) {
        NodeReportMessage.Builder builder =
                NodeReportMessage.newBuilder().setProxy("p").setIncarnation(1).setId(nextReport);
        proxy.addUsage(builder, nextReport++);
        return builder.build();
    }

    private void receive(PeerBody body) {
        DirectoryCodec.decodeMessage(((PeerBody.Directory) body).message())
                .forEach(m -> answers.add(m.getUpdate()));
    }

    private void request(ProxyQuotas proxy) {
        proxy.gate()
                .request(
                        new OperationGate.Operation("w", "s", System.nanoTime() + SECOND),
                        new OperationGate.Listener() {
                            @Override
                            public void permitted() {
                                outcomes.add("permitted");
                            }

                            @Override
                            public void refused(String reason, int retryAfterMillis) {
                                outcomes.add(reason);
                            }
                        });
    }

    private void exchange(ProxyQuotas proxy, LeaderQuotas leader) {
        long now = System.nanoTime();
        leader.record(report(proxy), this::receive, now);
        leader.answer(now, now);
        answers.forEach(proxy::apply);
        answers.clear();
    }

    @Test
    void tokensReachTheOperationThatWaits() {
        RouteTable table = table(Option.some(new RateLimit(1, 0)));
        DirectoryState state =
                DirectoryState.EMPTY
                        .apply(new DirectoryCommand.PutRoutes(table), 1)
                        .apply(new DirectoryCommand.SetFleetSize(new FleetSize(1, 1)), 2);
        LeaderQuotas leader = new LeaderQuotas(new QuotaSettings(2, 0, 1));
        leader.elected(3, DirectoryState.EMPTY, System.nanoTime());
        leader.answer(System.nanoTime(), System.nanoTime());
        leader.setState(state, new FleetSize(1, 1));
        ProxyQuotas proxy = proxy(2, table);
        for (int i = 0; i < 4; i++) {
            request(proxy);
        }
        assertThat(outcomes).isEmpty();
        exchange(proxy, leader);
        exchange(proxy, leader);
        // Of 2 x 1 + 1 operations there are 97% as tokens.
        assertThat(outcomes)
                .containsExactly(
                        "permitted",
                        "permitted",
                        "the workspace's quota is used up",
                        "the workspace's quota is used up");
        assertThat(leader.describe(System.nanoTime()))
                .anySatisfy(l -> assertThat(l).contains("workspace=w tokens=2"));
    }

    @Test
    void withoutWindowNothingIsReportedAndEverythingIsPermitted() {
        ProxyQuotas proxy = proxy(0, table(Option.some(new RateLimit(1, 0))));
        assertThat(QuotaCodec.concernsQuotas(report(proxy))).isFalse();
        assertThat(report(proxy).getSerializedSize())
                .isEqualTo(
                        NodeReportMessage.newBuilder()
                                .setProxy("p")
                                .setIncarnation(1)
                                .setId(1)
                                .build()
                                .getSerializedSize());
        assertThat(proxy.gate()).isSameAs(OperationGate.OPEN);
    }

    @Test
    void withoutLimitsNothingIsReportedAndEverythingIsPermitted() {
        ProxyQuotas proxy = proxy(5, table(Option.none()));
        assertThat(QuotaCodec.concernsQuotas(report(proxy))).isFalse();
        request(proxy);
        assertThat(outcomes).containsExactly("permitted");
    }

    @Test
    void aLeaderDoesNotAnswerAProxyWithoutQuotas() {
        LeaderQuotas leader = new LeaderQuotas(new QuotaSettings(5, 0, 0));
        leader.elected(3, DirectoryState.EMPTY, System.nanoTime());
        exchange(proxy(5, table(Option.none())), leader);
        long now = System.nanoTime();
        leader.record(report(proxy(0, table(Option.none()))), this::receive, now);
        leader.answer(now, now);
        assertThat(answers).isEmpty();
    }
}
