package org.ragwortmoor.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.ragwortmoor.settings.ControlSettings;

/** Guards against wrong exit codes, lost identifiers and untrue outcomes of commands. */
class CommandsTest {
    private static final String RULES =
            """
            scope f c/ # requested by Court: order 7
            partner C f c/ # requested by Court: order 7
            allow read session=clerk partner=C # requested by Soto
            """;

    @TempDir Path folder;

    private final List<HttpServer> servers = new ArrayList<>();
    private final List<String> requests = new ArrayList<>();
    private ByteArrayOutputStream out;
    private ByteArrayOutputStream err;

    @BeforeEach
    void clear() {
        out = new ByteArrayOutputStream();
        err = new ByteArrayOutputStream();
    }

    @AfterEach
    void stop() {
        servers.forEach(server -> server.stop(0));
    }

    private int run(String... args) {
        return run(Commands.ALL, Map.of(), args);
    }

    private int run(List<CommandEntry> commands, Map<String, String> env, String... args) {
        clear();
        Console console =
                new Console(
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8),
                        env);
        return new Main(commands).run(List.of(args), console).code();
    }

    private String file(String text) throws IOException {
        Path file = Files.createTempFile(folder, "rules", ".txt");
        Files.writeString(file, text);
        return file.toString();
    }

    /** Starts a server that gives this answer to every request; status 0 closes without one. */
    private String serve(int status, String answer) throws IOException {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        HttpServer server = HttpServer.create(new InetSocketAddress(loopback, 0), 0);
        server.createContext(
                "/",
                exchange -> {
                    String body =
                            new String(
                                    exchange.getRequestBody().readAllBytes(),
                                    StandardCharsets.UTF_8);
                    synchronized (requests) {
                        requests.add(exchange.getRequestURI().getPath() + " " + body);
                    }
                    if (status != 0) {
                        byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
                        exchange.sendResponseHeaders(status, bytes.length);
                        exchange.getResponseBody().write(bytes);
                    }
                    exchange.close();
                });
        server.start();
        servers.add(server);
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private static String unreachable() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    @Test
    void checkReportsProblemsAndCodes() throws IOException {
        assertThat(run("rules", "check", file(RULES))).isZero();
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("accepted, 0 errors, 0 warnings");
        assertThat(run("rules", "check", "--json", file("scope f\n"))).isEqualTo(1);
        assertThat(out.toString(StandardCharsets.UTF_8))
                .contains("\"accepted\":false", "\"check\":\"ArgumentsComplete\",\"line\":1");
        assertThat(run("rules", "check", folder.resolve("none").toString())).isEqualTo(3);
        assertThat(run("rules", "check")).isEqualTo(2);
        assertThat(run("rules", "chekc")).isEqualTo(2);
        assertThat(run()).isEqualTo(2);
        byte[] latin1 = {'#', (byte) 0xe9};
        Path binary = Files.write(folder.resolve("latin1"), latin1);
        assertThat(run("rules", "check", binary.toString())).isEqualTo(3);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("save it as UTF-8");
    }

    @Test
    void diffAndExplainNameLinesAndRequesters() throws IOException {
        String next = file(RULES + "scope f d/ # requested by Vera\n");
        assertThat(run("rules", "diff", file(RULES), next)).isZero();
        assertThat(out.toString(StandardCharsets.UTF_8))
                .contains("+ scope f d/  # requested by Vera", "! widens the scopes");
        assertThat(run("rules", "diff", "--json", next, next)).isZero();
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("\"added\":[]");
        String[] explain = {
            "rules", "explain", next, "--group", "f", "--key", "c/1", "--principal", "clerk"
        };
        assertThat(run(explain)).isZero();
        assertThat(out.toString(StandardCharsets.UTF_8))
                .contains("allowed by line 3", "requested by Soto", "write:   forbidden");
    }

    @Test
    void everyCommandHasHelpAndIsDocumented() throws IOException {
        String page = Files.readString(Path.of("..", "docs", "commands.md"));
        for (CommandEntry entry : Commands.ALL) {
            List<String> args = new ArrayList<>(List.of(entry.name().split(" ")));
            args.add("--help");
            assertThat(run(args.toArray(String[]::new))).as(entry.name()).isZero();
            assertThat(out.toString(StandardCharsets.UTF_8)).contains(entry.summary());
            assertThat(page).contains("| `" + entry.name());
        }
        for (ExitCode code : ExitCode.values()) {
            assertThat(page).contains("| " + code.code() + " | ");
        }
    }

    @Test
    void applyFollowsTheLeaderWithOneOperationId() throws IOException {
        String leader = serve(200, "{\"version\":8,\"state\":\"accepted\"}");
        String follower = serve(421, "{\"leader\":\"" + leader + "\"}");
        int code =
                run(
                        "rules",
                        "apply",
                        file(RULES),
                        "--expect-version",
                        "7",
                        "--json",
                        "--addresses",
                        unreachable() + "," + follower);
        assertThat(code).isZero();
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("\"version\":8");
        assertThat(requests).hasSize(2);
        assertThat(requests.get(0)).isEqualTo(requests.get(1)).contains("\"expectVersion\":7");
        String id = err.toString(StandardCharsets.UTF_8).strip().replace("operation id: ", "");
        assertThat(requests.get(0)).contains("\"operationId\":\"" + id + "\"");
    }

    @Test
    void applySendsNothingIfTheFileHasErrors() throws IOException {
        String address = serve(200, "{}");
        String[] args = {
            "rules", "apply", file("scope f"), "--expect-version", "7", "--addresses", address
        };
        assertThat(run(args)).isEqualTo(1);
        assertThat(requests).isEmpty();
    }

    @Test
    void mapsAnswersToExitCodes() throws IOException {
        String conflict = serve(409, "{\"message\":\"version 8 by Soto won\"}");
        String file = file(RULES);
        assertThat(apply(file, conflict)).isEqualTo(1);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("409: version 8 by Soto won");
        assertThat(apply(file, serve(400, "{}"))).isEqualTo(2);
        assertThat(apply(file, unreachable())).isEqualTo(3);
        assertThat(apply(file, serve(500, "no JSON"))).isEqualTo(4);
        assertThat(apply(file, serve(503, "{}"))).isEqualTo(1);
        assertThat(apply(file, serve(421, "{}"))).isEqualTo(1);
        // The first attempt may have been carried out, so the refusal of the second proves nothing.
        assertThat(apply(file, serve(0, "") + "," + conflict)).isEqualTo(4);
        assertThat(apply(file, serve(0, "") + "," + serve(200, "{}"))).isZero();
        assertThat(apply(file, "localhost:80")).isEqualTo(2);
        assertThat(run("status", "--addresses", serve(500, "{}"))).isEqualTo(3);
        assertThat(run("status")).isEqualTo(2);
        Map<String, String> env =
                Map.of("RAGWORTMOOR_ADDRESSES", serve(200, "{\"a\":[{\"b\":1}]}"));
        assertThat(run(Commands.ALL, env, "dump")).isZero();
        assertThat(out.toString(StandardCharsets.UTF_8))
                .isEqualToNormalizingNewlines("a:\n  -\n    b: 1\n");
    }

    /** Guards against a process that cannot be reached hiding the others. */
    @Test
    void statusShowsEachProcessAndTheLeadersGroups() throws IOException {
        String leader = serve(200, "{\"leads\":true,\"groups\":[{\"group\":\"g\"}]}");
        String lost = unreachable();
        String follower = serve(200, "{\"leads\":false,\"groups\":[{\"group\":\"old\"}]}");
        String addresses = String.join(",", lost, follower, leader);
        assertThat(run("status", "--addresses", addresses)).isZero();
        assertThat(out.toString(StandardCharsets.UTF_8))
                .contains("address: " + lost, "cannot be reached", "leads: true", "group: g")
                .doesNotContain("group: old");
    }

    private int apply(String file, String addresses) {
        return run("rules", "apply", file, "--expect-version", "7", "--addresses", addresses);
    }

    @Test
    void followsNoCircleOfHints() throws IOException {
        String unknown = unreachable();
        String circle = serve(421, "{\"leader\":\"" + unknown + "\"}");
        assertThat(run("status", "--addresses", circle)).isEqualTo(3);
        assertThat(run("status", "--addresses", circle + "," + circle)).isEqualTo(3);
        assertThat(requests).hasSize(3);
    }

    @Test
    void queriesSendTheDocumentedFields() throws IOException {
        String proxy =
                serve(
                        200,
                        "{\"outcome\":\"done\",\"token\":\"t2\",\"records\":"
                                + "[{\"key\":\"c/1\",\"value\":\"5\"},"
                                + "{\"key\":\"c/2\",\"value\":null}]}");
        String[] read = {
            "query",
            "read",
            "c/1",
            "c/2",
            "--group",
            "f",
            "--principal",
            "clerk",
            "--level",
            "AGE",
            "--max-age",
            "50",
            "--addresses",
            proxy
        };
        assertThat(run(read)).isZero();
        assertThat(out.toString(StandardCharsets.UTF_8))
                .contains("c/1 = 5", "c/2 (no record)", "token: t2");
        assertThat(requests.get(0)).isEqualTo("/v1/sessions {\"principal\":\"clerk\"}");
        assertThat(requests.get(1))
                .startsWith("/v1/read {\"keys\":[\"c/1\",\"c/2\"],\"level\":\"age\"")
                .contains("\"maxAgeMillis\":50", "\"token\":\"t2\"", "\"deadlineMillis\":5000");
        String[] write = {
            "query",
            "write",
            "put:a=b=c",
            "increment:n=-2",
            "delete:x",
            "--group",
            "f",
            "--token",
            "t",
            "--key",
            "k",
            "--not-repeatable",
            "--addresses",
            proxy
        };
        assertThat(run(write)).isZero();
        assertThat(requests.get(2))
                .contains("{\"op\":\"put\",\"key\":\"a\",\"value\":\"b=c\"}")
                .contains("{\"op\":\"increment\",\"key\":\"n\",\"delta\":-2}")
                .contains("\"key\":\"k\",\"repeatable\":false");
    }

    @Test
    void aWriteThatMustNotRepeatIsSentOnce() throws IOException {
        String silent = serve(0, "");
        String[] write = {
            "query",
            "write",
            "delete:x",
            "--group",
            "f",
            "--token",
            "t",
            "--not-repeatable",
            "--addresses",
            silent + "," + serve(200, "{\"outcome\":\"done\"}")
        };
        assertThat(run(write)).isEqualTo(4);
        assertThat(requests).hasSize(1);
    }

    @Test
    void outcomesGiveTheExitCode() throws IOException {
        String[] read = {"query", "read", "k", "--group", "f", "--token", "t", "--addresses", ""};
        read[read.length - 1] =
                serve(200, "{\"outcome\":\"not-run\",\"error\":{\"message\":\"too busy\"}}");
        assertThat(run(read)).isEqualTo(1);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("too busy");
        read[read.length - 1] = serve(504, "{\"outcome\":\"unknown\"}");
        assertThat(run(read)).isEqualTo(4);
        String[] wrong = {"query", "write", "put:x", "--group", "f", "--token", "t", "--addresses"};
        List<String> args = new ArrayList<>(List.of(wrong));
        args.add(serve(200, "{}"));
        assertThat(run(args.toArray(String[]::new))).isEqualTo(2);
        assertThat(requests).hasSize(2);
    }

    @Test
    void anInternalErrorClaimsNoOutcome() {
        Command failing =
                console -> {
                    throw new IllegalStateException("fault");
                };
        List<CommandEntry> commands = List.of(new CommandEntry("x", "Fails.", () -> failing));
        assertThat(run(commands, Map.of(), "x")).isEqualTo(4);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("internal error", "fault");
    }

    @Test
    void aRoleReportsAllWrongSettings() {
        SettingsCommand<ControlSettings> command =
                new SettingsCommand<>(ControlSettings.ROLE) {
                    @Override
                    protected ExitCode run(ControlSettings settings, Console console) {
                        return ExitCode.OK;
                    }
                };
        List<CommandEntry> commands = List.of(new CommandEntry("control", "Runs.", () -> command));
        assertThat(run(commands, Map.of(), "control", "--workers", "0")).isEqualTo(2);
        assertThat(err.toString(StandardCharsets.UTF_8).lines()).hasSize(7);
        assertThat(run(commands, Map.of(), "control", "--help")).isZero();
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("--election-timeout");
    }
}
