package org.ragwortmoor.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.ragwortmoor.coordination.directory.CallOutcome;
import org.ragwortmoor.coordination.quota.QuotaSettings;
import org.ragwortmoor.settings.Address;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.routes.RouteTable;

/** A directory process that is the only member of its group, on loopback. */
final class RunningDirectory implements AutoCloseable {
    static final String HOST = "127.0.0.1";
    private static final long WAIT_SECONDS = 20;

    private final EventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = loops.next();
    private final DirectoryNode node;
    private final String peerAddress;
    private final String control;

    RunningDirectory(Path folder) throws Exception {
        int port = freePort();
        control = HOST + ":" + freePort();
        peerAddress = HOST + ":" + port;
        DirectorySettings settings =
                new DirectorySettings(
                        "a",
                        Address.parse(control).get(),
                        port,
                        List.of(control),
                        true,
                        folder.resolve("data"),
                        "",
                        false,
                        3_000,
                        new QuotaSettings(0, 0, 0),
                        "",
                        ControlLimits.DERIVED,
                        ConnectionLimits.DERIVED);
        PrometheusRegistry registry = new PrometheusRegistry();
        node =
                new DirectoryNode(
                        settings,
                        ProcessStart.now(),
                        loops,
                        (promotion, stillValid) ->
                                CompletableFuture.completedFuture(CallOutcome.ACCEPTED),
                        new ConnectionGuards(ConnectionLimits.DERIVED, registry),
                        registry);
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    EventLoop loop() {
        return loop;
    }

    String peerAddress() {
        return peerAddress;
    }

    String control() {
        return control;
    }

    DirectoryApi api() {
        return node.api();
    }

    /** Calls the process on its event loop. */
    <T> T call(Supplier<CompletionStage<T>> request) throws Exception {
        CompletableFuture<T> answer = new CompletableFuture<>();
        loop.execute(
                () ->
                        request.get()
                                .whenComplete(
                                        (result, error) -> {
                                            if (error == null) {
                                                answer.complete(result);
                                            } else {
                                                answer.completeExceptionally(error);
                                            }
                                        }));
        return answer.get(5, TimeUnit.SECONDS);
    }

    DirectoryState state() throws Exception {
        return call(() -> CompletableFuture.completedFuture(node.state()));
    }

    /** Waits until the process has stored a table. */
    void awaitStored(RouteTable table) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (call(() -> api().putRoutes(table)) != DirectoryApi.Outcome.DONE) {
            assertThat(System.nanoTime()).as("time until the table is stored").isLessThan(end);
            Thread.sleep(50);
        }
    }

    @Override
    public void close() throws Exception {
        node.stop().get(5, TimeUnit.SECONDS);
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
