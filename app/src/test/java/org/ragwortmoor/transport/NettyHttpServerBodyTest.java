package org.ragwortmoor.transport;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against bodies that are read as other text than was sent. */
class NettyHttpServerBodyTest {
    private static final String HOST = "127.0.0.1";

    private final EventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<String> bodies = new CopyOnWriteArrayList<>();
    private final int port = freePort();
    private final NettyHttpServer server =
            new NettyHttpServer(
                    loops,
                    HOST,
                    port,
                    1 << 20,
                    ConnectionGuard.unlimited(),
                    request -> {
                        bodies.add(request.body());
                        return CompletableFuture.completedFuture(
                                NettyHttpServer.Response.text(200, "read"));
                    });

    NettyHttpServerBodyTest() throws Exception {}

    @AfterEach
    void stop() {
        server.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    private HttpResponse<String> post(byte[] body) throws Exception {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + port + "/"))
                        .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                        .build();
        return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
    }

    @Test
    void aBodyIsReadAsUtf8() throws Exception {
        String body = "{\"service\":\"gr\u00fcn \u65e5 \ud83d\ude00\"}";
        assertThat(post(body.getBytes(StandardCharsets.UTF_8)).statusCode()).isEqualTo(200);
        assertThat(post(new byte[0]).statusCode()).isEqualTo(200);
        assertThat(bodies).containsExactly(body, "");
    }

    @Test
    void aBodyThatIsNotUtf8IsRejected() throws Exception {
        byte[] latin = "{\"service\":\"gr\u00fcn\"}".getBytes(StandardCharsets.ISO_8859_1);
        HttpResponse<String> response = post(latin);
        assertThat(response.statusCode()).isEqualTo(400);
        assertThat(response.body()).isEqualTo("the body is not UTF-8");
        assertThat(post(new byte[] {'"', (byte) 0xc3}).statusCode()).isEqualTo(400);
        assertThat(post(new byte[] {(byte) 0xed, (byte) 0xa0, (byte) 0x80}).statusCode())
                .isEqualTo(400);
        assertThat(bodies).isEmpty();
    }
}
