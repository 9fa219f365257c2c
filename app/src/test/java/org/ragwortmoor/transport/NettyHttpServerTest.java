package org.ragwortmoor.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests which response belongs to which request of a connection. */
class NettyHttpServerTest {
    private static final String HOST = "127.0.0.1";
    private static final int TIMEOUT_MILLIS = 5_000;

    private final EventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final CompletableFuture<NettyHttpServer.Response> slow = new CompletableFuture<>();

    @AfterEach
    void stop() {
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** The response to the first request is known only after that to the second one. */
    private CompletionStage<NettyHttpServer.Response> handle(NettyHttpServer.Request request) {
        if (request.path().equals("/slow")) {
            return slow;
        }
        loops.schedule(
                () -> slow.complete(NettyHttpServer.Response.text(200, "slow")),
                50,
                TimeUnit.MILLISECONDS);
        return CompletableFuture.completedFuture(NettyHttpServer.Response.text(200, "fast"));
    }

    @Test
    void pipelinedRequestsAreAnsweredInTheirOrder() throws Exception {
        int port;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            port = socket.getLocalPort();
        }
        try (NettyHttpServer server =
                        new NettyHttpServer(
                                loops,
                                HOST,
                                port,
                                1_024,
                                ConnectionGuard.unlimited(),
                                this::handle);
                Socket socket = new Socket(HOST, port)) {
            socket.setSoTimeout(TIMEOUT_MILLIS);
            String requests =
                    "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"
                            + "GET /fast HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
            socket.getOutputStream().write(requests.getBytes(StandardCharsets.US_ASCII));
            String responses =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertThat(responses).containsSubsequence("slow", "fast");
        }
    }
}
