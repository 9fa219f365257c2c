import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;

/**
 * A small deployment on loopback: directory processes and statement proxies, started with the
 * commands of deploy/system.toml and the templates of the deploy file, each on an address of its
 * own.
 */
final class Standins implements AutoCloseable {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    static boolean trouble() {
        return !"0".equals(System.getenv("TROUBLE"));
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        return thread;
    }

    final Record record;
    final Path root;
    final Path folder;
    final Platform platform;
    final List<Process> processes = new ArrayList<>();
    final Map<String, Process> byName = new HashMap<>();
    final List<InetSocketAddress> controls = new ArrayList<>();
    final List<InetSocketAddress> fronts = new ArrayList<>();
    final List<InetSocketAddress> readies = new ArrayList<>();
    final String[] zones = {"colina", "pirque", "lampa"};
    private final int net = 10 + new Random().nextInt(230);
    private final int port;
    private int servers;

    Standins(Path caseFolder, int directories, int proxies) throws IOException {
        root = Path.of("").toAbsolutePath();
        record = new Record(caseFolder.resolve("record.txt"));
        folder = Files.createTempDirectory("review");
        port = freePorts();
        platform = new Platform(address(3, 1, port + 9), record);
        for (int i = 1; i <= directories; i++) {
            controls.add(address(0, i, port));
        }
        for (int i = 1; i <= proxies; i++) {
            fronts.add(address(1, i, port + 2));
            readies.add(address(1, i, port + 3));
        }
        Heartbeats.control = List.copyOf(controls);
        Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
        for (int i = 1; i <= directories; i++) {
            startDirectory(i, true);
        }
        for (int i = 1; i <= proxies; i++) {
            startProxy(i);
        }
    }

    private int freePorts() throws IOException {
        for (int attempt = 0; attempt < 50; attempt++) {
            int base = 20000 + new Random().nextInt(12000);
            boolean free = true;
            for (int i = 0; i < 10 && free; i++) {
                try (ServerSocket probe = new ServerSocket()) {
                    probe.bind(address(0, 1, base + i));
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return base;
            }
        }
        throw new IOException("no free ports");
    }

    InetSocketAddress address(int kind, int number, int usedPort) throws IOException {
        byte[] ip = {127, (byte) net, (byte) kind, (byte) number};
        return new InetSocketAddress(InetAddress.getByAddress(ip), usedPort);
    }

    InetSocketAddress nextServerAddress() throws IOException {
        return address(2, ++servers, port + 5);
    }

    static String text(InetSocketAddress a) {
        return a.getAddress().getHostAddress() + ":" + a.getPort();
    }

    private String seeds() {
        StringJoiner joined = new StringJoiner(",");
        controls.forEach(c -> joined.add(text(c)));
        return joined.toString();
    }

    void startDirectory(int number, boolean bootstrap) throws IOException {
        Path data = folder.resolve("directory-" + number);
        Files.createDirectories(data);
        InetSocketAddress control = controls.get(number - 1);
        start(
                "directory",
                "directory-" + number,
                "deploy/directory.settings",
                Map.of(
                        "zone", zones[(number - 1) % zones.length],
                        "bind_addresses.control", text(control),
                        "internal_ports.0", Integer.toString(port + 1),
                        "seeds", seeds(),
                        "bootstrap", Boolean.toString(bootstrap),
                        "data_dir", data.toString(),
                        "platform_api.address", text(address(3, 1, port + 9)),
                        "bounds.fencing_required", "true",
                        "ip", control.getAddress().getHostAddress()));
    }

    void startProxy(int number) throws IOException {
        InetSocketAddress front = fronts.get(number - 1);
        start(
                "statement-proxy",
                "proxy-" + number,
                "deploy/statement-proxy.settings",
                Map.of(
                        "node_name", "edge-" + number,
                        "zone", zones[(number - 1) % zones.length],
                        "bind_addresses.front", text(front),
                        "bind_addresses.ready", text(readies.get(number - 1)),
                        "internal_ports.0", Integer.toString(port + 1),
                        "seeds", seeds(),
                        "bounds.grace_s", "6",
                        "ip", front.getAddress().getHostAddress()));
    }

    /** Fills in a template of the deploy file, and starts the command of the role. */
    private void start(String role, String name, String template, Map<String, String> fields)
            throws IOException {
        // The bounds that open a section are not set in these deployments.
        String settings =
                Files.readString(root.resolve(template))
                        .replaceAll("(?s)\\{\\{#([^}]+)\\}\\}\n.*?\\{\\{/\\1\\}\\}\n", "");
        for (Map.Entry<String, String> field : fields.entrySet()) {
            settings = settings.replace("{{" + field.getKey() + "}}", field.getValue());
        }
        if (settings.contains("{{")) {
            throw new IOException("a placeholder is not known here: " + settings);
        }
        Path file = folder.resolve(name + ".settings");
        Files.writeString(file, settings);
        ProcessBuilder builder = new ProcessBuilder(command(role));
        builder.directory(root.toFile());
        builder.environment().put("RAGWORTMOOR_CONFIG", file.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        Process process = builder.start();
        processes.add(process);
        byName.put(name, process);
    }

    private List<String> command(String role) throws IOException {
        boolean section = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                section = line.equals("[roles." + role + "]");
            } else if (section && line.startsWith("run = ")) {
                return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
            }
        }
        throw new IOException("no command of " + role);
    }

    /** Sends the configuration until it is acknowledged. */
    void putConfiguration(String configuration) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        for (int i = 0; System.nanoTime() < end; i++) {
            int status =
                    Http.call(controls.get(i % controls.size()), null, "POST", "/config/replace",
                            Map.of(), configuration, 1000).status();
            if (status == 200) {
                record.line("configuration acknowledged: " + Client.abbreviate(configuration));
                return;
            }
            Thread.sleep(100);
        }
        throw new IOException("the configuration was not acknowledged");
    }

    void awaitReady() throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        for (InetSocketAddress ready : readies) {
            while (Http.call(ready, null, "GET", "/readiness", Map.of(), "", 1000).status() != 200) {
                if (System.nanoTime() > end) {
                    throw new IOException("a proxy is not ready");
                }
                Thread.sleep(100);
            }
        }
    }

    /** Kills all processes of the system at once. */
    void killAll() throws InterruptedException {
        byName.values().forEach(Process::destroyForcibly);
        for (Process process : byName.values()) {
            process.waitFor();
        }
    }

    /** Starts all processes again, with their disks. */
    void restartAll() throws IOException {
        for (int i = 1; i <= controls.size(); i++) {
            startDirectory(i, false);
        }
        for (int i = 1; i <= fronts.size(); i++) {
            startProxy(i);
        }
    }

    String log(String name) throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }

    /** Copies the lines of a process's log that contain one of the words into the record. */
    void quoteLog(String name, String... words) throws IOException {
        for (String line : log(name).split("\n")) {
            if (Arrays.stream(words).anyMatch(line::contains)) {
                record.line("log of " + name + ": " + line);
            }
        }
    }

    private void kill() {
        processes.forEach(Process::destroyForcibly);
    }

    @Override
    public void close() throws IOException {
        kill();
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        record.close();
        if (!"1".equals(System.getenv("KEEP"))) {
            try (var files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            }
        } else {
            System.err.println("kept " + folder);
        }
    }
}
