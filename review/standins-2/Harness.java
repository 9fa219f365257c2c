import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * Runs the project's programs as separate processes on loopback, with the commands of the deploy
 * file. Machine n of either kind has an address of its own, so the same ports serve all of them.
 * Everything that is sent, answered and run goes to the record of the case.
 */
final class Harness implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;

    private final Path root = Path.of("").toAbsolutePath();
    private final Path folder;
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final int directories;
    private final int proxies;
    private final Map<String, Process> processes = new LinkedHashMap<>();
    private final HttpClient http =
            HttpClient.newBuilder().connectTimeout(Duration.ofMillis(500)).build();
    private final int controlPort;
    private final int peerPort;
    private final int frontPort;
    private final int readyPort;
    private final int metricsPort;
    String promotionAddress = "127.0.3.1:9";
    int graceSeconds = 6;

    /** Whether single statements are left out of the record. */
    volatile boolean quiet;

    Harness(Path caseFolder, int directories, int proxies) throws IOException {
        this.directories = directories;
        this.proxies = proxies;
        this.folder = Files.createTempDirectory("review-2-");
        this.record =
                new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        List<Integer> taken = new ArrayList<>();
        controlPort = freePort(taken);
        peerPort = freePort(taken);
        frontPort = freePort(taken);
        readyPort = freePort(taken);
        metricsPort = freePort(taken);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Whether the case runs with its disruption. */
    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    /** Writes a line with the seconds since the start. */
    synchronized void note(String line) {
        if (quiet) {
            return;
        }
        record.printf("%8.3f %s%n", (System.nanoTime() - startedAt) / 1e9, line);
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    private int freePort(List<Integer> taken) throws IOException {
        Random random = new Random();
        for (int attempt = 0; attempt < 1000; attempt++) {
            int port = 20_000 + random.nextInt(12_000);
            if (!taken.contains(port) && isFree(port)) {
                taken.add(port);
                return port;
            }
        }
        throw new IOException("no free port");
    }

    private boolean isFree(int port) {
        List<String> hosts = new ArrayList<>();
        for (int i = 1; i <= directories; i++) {
            hosts.add("127.0.1." + i);
        }
        for (int i = 1; i <= proxies; i++) {
            hosts.add("127.0.2." + i);
        }
        for (String host : hosts) {
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(host))) {
                socket.setReuseAddress(true);
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }

    String control(int machine) {
        return "127.0.1." + machine + ":" + controlPort;
    }

    String front(int machine) {
        return "127.0.2." + machine + ":" + frontPort;
    }

    private String seeds() {
        List<String> seeds = new ArrayList<>();
        for (int i = 1; i <= Math.min(3, directories); i++) {
            seeds.add(control(i));
        }
        return String.join(",", seeds);
    }

    /** Starts a control machine; its data folder stays between starts unless it is emptied. */
    void startDirectory(int machine, boolean bootstrap) throws IOException {
        start(
                "directory-" + machine,
                "directory",
                List.of(
                        "failure-domain = z" + (1 + (machine - 1) % 3),
                        "control-address = " + control(machine),
                        "peer-port = " + peerPort,
                        "seeds = " + seeds(),
                        "bootstrap = " + bootstrap,
                        "data-folder = " + folder.resolve("data-" + machine),
                        "promotion-address = " + promotionAddress,
                        "platform-fencing = true",
                        "metrics-address = 127.0.1." + machine + ":" + metricsPort));
    }

    void startProxy(int machine) throws IOException {
        startProxyWithSeeds(machine, seeds());
    }

    void startProxyWithSeeds(int machine, String seeds) throws IOException {
        start("proxy-" + machine, "statement-proxy", proxySettings(machine, seeds));
    }

    /** Writes the settings file of a proxy anew, with the present seeds. */
    void changeSeeds(int machine) throws IOException {
        note("platform changes the settings file of proxy-" + machine);
        Path file = folder.resolve("proxy-" + machine + ".settings");
        Path changed = folder.resolve("proxy-" + machine + ".changed");
        Files.write(changed, proxySettings(machine, seeds()));
        Files.move(changed, file, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
    }

    private List<String> proxySettings(int machine, String seeds) {
        return List.of(
                        "name = proxy-" + machine,
                        "failure-domain = z" + (1 + (machine - 1) % 3),
                        "statement-address = " + front(machine),
                        "readiness-address = 127.0.2." + machine + ":" + readyPort,
                        "peer-port = " + peerPort,
                        "seeds = " + seeds,
                        "stop-grace = " + graceSeconds,
                        "metrics-address = 127.0.2." + machine + ":" + metricsPort);
    }

    /** Returns the command of a role in the deploy file. */
    private List<String> command(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                inRole = line.equals("[roles." + role + "]");
            } else if (inRole && line.startsWith("run = ")) {
                String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return new ArrayList<>(List.of(run.split(" ")));
            }
        }
        throw new IOException("the deploy file has no role " + role);
    }

    private void start(String name, String role, List<String> settings) throws IOException {
        Path file = folder.resolve(name + ".settings");
        Files.write(file, settings);
        ProcessBuilder builder = new ProcessBuilder(command(role));
        builder.directory(root.toFile());
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("RAGWORTMOOR_CONFIG", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log(name).toFile()));
        processes.put(name, builder.start());
        note("platform starts " + name);
    }

    Path log(String name) {
        return folder.resolve(name + ".log");
    }

    Process process(String name) {
        return processes.get(name);
    }

    /** Ends a process at once, as a loss of power of its machine would. */
    void kill(String name) throws InterruptedException {
        note("platform kills " + name);
        processes.get(name).destroyForcibly().waitFor();
    }

    /** Sends a signal to a process that this harness started. */
    void signal(String name, String signal) throws IOException, InterruptedException {
        note("platform sends " + signal + " to " + name);
        new ProcessBuilder("kill", "-" + signal, Long.toString(processes.get(name).pid()))
                .start()
                .waitFor();
    }

    /** Empties the data folder of a control machine, as the loss of its disk would. */
    void loseDisk(int machine) throws IOException {
        note("machine directory-" + machine + " loses its disk");
        deleteTree(folder.resolve("data-" + machine));
    }

    /** Returns status and body; the status is 0 without an answer within the time. */
    record Answer(int status, String body) {}

    Answer call(String address, String method, String path, String body, long millis) {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(Duration.ofMillis(millis))
                        .header("Content-Type", "application/json")
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        try {
            HttpResponse<String> answer = http.send(request, HttpResponse.BodyHandlers.ofString());
            return new Answer(answer.statusCode(), answer.body());
        } catch (IOException e) {
            return new Answer(0, e.toString());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(0, "interrupted");
        }
    }

    boolean ready(int machine) {
        return call("127.0.2." + machine + ":" + readyPort, "GET", "/readiness", "", 1000).status()
                == 200;
    }

    /**
     * Sends an order of the operator as the pages say: to one node after the other, with a pause,
     * until one acknowledges it. Returns the seconds that it took, or -1.
     */
    double order(String what, String config, List<Integer> nodes, double limitSeconds) {
        double from = seconds();
        note("operator sends " + what + " (" + config.length() + " bytes)");
        for (int i = 0; seconds() - from < limitSeconds; i++) {
            int node = nodes.get(i % nodes.size());
            Answer answer = call(control(node), "POST", "/config/replace", config, 1000);
            if (answer.status() == 200) {
                double took = seconds() - from;
                note("operator: " + what + " acknowledged by directory-" + node);
                return took;
            }
            note("operator: " + what + " to directory-" + node + ": " + answer.status());
            sleep(Math.min(1000, 100L << Math.min(i, 4)));
        }
        note("operator: " + what + " not acknowledged in " + limitSeconds + " s");
        return -1;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Copies the lines of a process's log that contain one of the words to the record. */
    void quote(String name, int limit, String... words) {
        try (Stream<String> lines = Files.lines(log(name))) {
            lines.filter(l -> Stream.of(words).anyMatch(l::contains))
                    .limit(limit)
                    .map(l -> l.replace(folder.toString(), "FOLDER"))
                    .forEach(l -> note(name + " logged: " + l));
        } catch (IOException | RuntimeException e) {
            note("no log of " + name);
        }
    }

    @Override
    public void close() {
        for (Process process : processes.values()) {
            process.destroyForcibly();
        }
        for (Process process : processes.values()) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try {
            deleteTree(folder);
        } catch (IOException e) {
            note("the temporary folder is left");
        }
    }

    private static void deleteTree(Path top) throws IOException {
        if (!Files.exists(top)) {
            return;
        }
        List<Path> paths;
        try (Stream<Path> walk = Files.walk(top)) {
            paths = walk.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path path : paths) {
            Files.deleteIfExists(path);
        }
    }
}
