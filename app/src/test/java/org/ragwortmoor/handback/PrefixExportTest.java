package org.ragwortmoor.handback;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.ragwortmoor.cli.ApiClient;
import org.ragwortmoor.settings.Address;

/** Guards against pages of different histories in one file, and against withheld records. */
class PrefixExportTest {
    private static final String END = "'records':[],'withheld':0";
    private static final String EXPIRED = "'error':{'kind':'TOKEN_EXPIRED','message':'expired'}";
    private static final String FORBIDDEN = "'error':{'kind':'FORBIDDEN','message':'forbidden'}";
    private static final String LOST = "'error':{'kind':'POSITION_LOST','message':'lost'}";

    @TempDir Path folder;

    private final Deque<String> pages = new ArrayDeque<>();
    private final Deque<String> positions = new ArrayDeque<>();
    private final List<PrefixState> saved = new ArrayList<>();
    private final List<String> scannedAfter = new ArrayList<>();
    private HttpServer server;

    @AfterEach
    void stop() {
        server.stop(0);
    }

    @Test
    void lostPositionRestartsThePrefixWithANewBarrier() throws Exception {
        pages.addAll(List.of(page("c/1", "old"), LOST, page("c/1", "new"), END));
        pages.addAll(List.of(page("c/1", "new"), END));
        positions.addAll(List.of("1:5", "2:3", "2:4"));
        export(false);
        PrefixState last = saved.get(saved.size() - 1);
        assertThat(List.of(last.barrier(), last.end())).containsExactly("2:3", "2:4");
        assertThat(last.confirmed()).isTrue();
        assertThat(Files.readString(folder.resolve("r.jsonl")))
                .isEqualTo("{\"key\":\"c/1\",\"value\":\"new\"}\n");
    }

    @Test
    void secondPassThatDiffersRestartsThePrefix() throws Exception {
        pages.addAll(List.of(page("c/1", "a"), END, page("c/1", "b"), END));
        pages.addAll(List.of(page("c/1", "b"), END, page("c/1", "b"), END));
        positions.addAll(List.of("1:5", "1:6", "1:7", "1:8"));
        export(false);
        assertThat(saved.get(saved.size() - 1).barrier()).isEqualTo("1:7");
        assertThat(Files.readString(folder.resolve("r.jsonl"))).contains("\"b\"");
    }

    @Test
    void concurrentWritesAreMarkedAndNotConfirmed() throws Exception {
        pages.addAll(List.of(page("c/1", "a"), END, page("c/1", "b"), END));
        positions.addAll(List.of("1:5", "1:6"));
        export(true);
        PrefixState last = saved.get(saved.size() - 1);
        assertThat(last.confirmed()).isFalse();
        assertThat(last.pages()).containsExactly(new PrefixState.PageMark("c/1", "9:9"));
    }

    @Test
    void withheldRecordsEndTheExportWithTheMissingLine() throws Exception {
        pages.add(page("c/1", "a").replace("'withheld':0", "'withheld':2"));
        positions.add("1:5");
        assertThatThrownBy(() -> export(false))
                .isInstanceOf(HandBackException.class)
                .hasMessageContaining("2 records")
                .hasMessageContaining("allow read session=clerk");
    }

    /** A session lasts an hour; a long export must go on at the same page with a new one. */
    @Test
    void anExpiredSessionIsReplacedInBothPasses() throws Exception {
        pages.addAll(List.of(page("c/1", "a"), EXPIRED, page("c/2", "b"), END));
        pages.addAll(List.of(page("c/1", "a"), EXPIRED, page("c/2", "b"), END));
        positions.addAll(List.of("1:5", "1:6", "1:7", "1:8"));
        export(false);
        assertThat(scannedAfter).containsExactly("", "c/1", "c/1", "c/2", "", "c/1", "c/1", "c/2");
        PrefixState last = saved.get(saved.size() - 1);
        assertThat(List.of(last.barrier(), last.end())).containsExactly("1:5", "1:7");
        assertThat(last.confirmed()).isTrue();
        assertThat(Files.readAllLines(folder.resolve("r.jsonl"))).hasSize(2);
    }

    /** The second pass reads as much as the first, so an interruption must not repeat it. */
    @Test
    void anInterruptedSecondPassContinuesAtItsPage() throws Exception {
        pages.addAll(List.of(page("c/1", "a"), page("c/2", "b"), END));
        pages.addAll(List.of(page("c/1", "a"), FORBIDDEN));
        positions.addAll(List.of("1:5", "1:6"));
        assertThatThrownBy(() -> export(false)).hasMessageContaining("forbidden");
        server.stop(0);
        scannedAfter.clear();
        pages.addAll(List.of(page("c/2", "b"), END));
        positions.add("1:7");
        export(false, saved.get(saved.size() - 1));
        assertThat(scannedAfter).containsExactly("c/1", "c/2");
        PrefixState last = saved.get(saved.size() - 1);
        assertThat(List.of(last.barrier(), last.end())).containsExactly("1:5", "1:6");
        assertThat(last.confirmed()).isTrue();
    }

    /** A record that only the second pass finds must not be missing from a confirmed file. */
    @Test
    void aSecondPassWithFurtherRecordsRestartsThePrefix() throws Exception {
        pages.addAll(List.of(page("c/1", "a"), END, page("c/1", "a"), page("c/2", "b"), END));
        pages.addAll(List.of(page("c/1", "a"), page("c/2", "b"), END));
        pages.addAll(List.of(page("c/1", "a"), page("c/2", "b"), END));
        positions.addAll(List.of("1:5", "1:6", "1:7", "1:8"));
        export(false);
        assertThat(saved.get(saved.size() - 1).barrier()).isEqualTo("1:7");
        assertThat(Files.readAllLines(folder.resolve("r.jsonl"))).hasSize(2);
    }

    private static String page(String key, String value) {
        return "'records':[{'key':'%s','value':'%s'}],'withheld':0,'scannedTo':'%s'"
                .formatted(key, value, key);
    }

    private void export(boolean concurrent) throws Exception {
        export(concurrent, PrefixState.first("r.jsonl", 2, "Court", "g", "c/"));
    }

    private void export(boolean concurrent, PrefixState state) throws Exception {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/v1/sessions", e -> answer(e, 200, "'token':'t'"));
        server.createContext("/v1/read", this::read);
        server.start();
        Address address = Address.parse("127.0.0.1:" + server.getAddress().getPort()).get();
        ProxyReader reader =
                new ProxyReader(
                        new ApiClient(List.of(address), Duration.ofSeconds(30)),
                        "clerk",
                        "g",
                        "c/",
                        Deadline.after(Duration.ofSeconds(60), "try again"));
        new PrefixExport(reader, folder, key -> true, 1, concurrent, saved::add).run(state);
    }

    private void read(com.sun.net.httpserver.HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        if (body.contains("strong")) {
            answer(exchange, 200, "'token':'t','position':'" + positions.remove() + "'," + END);
            return;
        }
        scannedAfter.add(ExportFiles.JSON.readTree(body).path("scan").path("after").asText());
        // Without a page left, the answer ends the export instead of leaving it waiting.
        String next = pages.isEmpty() ? FORBIDDEN : pages.remove();
        boolean refused = next.startsWith("'error'");
        answer(exchange, refused ? 400 : 200, "'token':'t','position':'9:9'," + next);
    }

    private static void answer(com.sun.net.httpserver.HttpExchange exchange, int status, String f)
            throws IOException {
        String outcome = status == 200 ? "done" : "not-run";
        byte[] text =
                ("{'outcome':'" + outcome + "'," + f + "}")
                        .replace('\'', '"')
                        .getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, text.length);
        exchange.getResponseBody().write(text);
        exchange.close();
    }
}
