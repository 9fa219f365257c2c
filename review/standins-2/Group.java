import com.sun.net.httpserver.HttpServer;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A sound service of one primary and its replicas, and the platform that promotes. One log, instant
 * replication. Follows the protocol page.
 */
final class Group implements AutoCloseable {
    static final String SERVICE = "huvo11a";
    private static final int SLOTS = 5;

    private final Harness harness;
    private final List<Server> servers = new ArrayList<>();
    private final Map<String, String> items = new HashMap<>();
    private final AtomicLong signatures = new AtomicLong();
    private final HttpServer platform;
    private String primary;
    private long term = 1;
    private long number = 1;
    private long highestToken;
    private volatile boolean closed;
    volatile long workMillis = 5;

    /** The ids of the statements that a server has begun to run. */
    final Set<String> begun = java.util.concurrent.ConcurrentHashMap.newKeySet();

    Group(Harness harness, int count) throws IOException {
        this.harness = harness;
        for (int i = 1; i <= count; i++) {
            servers.add(new Server("i-" + Integer.toHexString(0x7f3a91c0 + i), "127.0.4." + i, i));
        }
        primary = servers.get(0).id;
        platform = HttpServer.create(
                new InetSocketAddress(InetAddress.getByName("127.0.3.1"), 0), 10);
        platform.createContext("/promotions", exchange -> {
            String body =
                    new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
            long token = Long.parseLong(exchange.getRequestHeaders().getFirst("Fencing-Token"));
            int status = promote(body, token);
            harness.note("platform: promotion " + body + " token " + token + " -> " + status);
            exchange.sendResponseHeaders(status, -1);
            exchange.close();
        });
        platform.start();
        harness.promotionAddress = "127.0.3.1:" + platform.getAddress().getPort();
    }

    private synchronized int promote(String body, long token) {
        if (token < highestToken) {
            return 409;
        }
        highestToken = token;
        for (Server server : servers) {
            if (body.contains("\"" + server.id + "\"")) {
                if (!server.id.equals(primary)) {
                    primary = server.id;
                    term++;
                }
                return 200;
            }
        }
        return 409;
    }

    synchronized boolean leads(String id) {
        return id.equals(primary);
    }

    synchronized String position() {
        return term + "." + number;
    }

    /** Starts to send the heartbeats of the servers to the control machines. */
    void beat(List<String> controls) {
        for (Server server : servers) {
            daemon(() -> server.beat(controls));
        }
    }

    /** Returns a path and a body for each server, as of a heartbeat that names another service. */
    List<String[]> heartbeats(String service, long number) {
        List<String[]> all = new ArrayList<>();
        for (Server server : servers) {
            all.add(new String[] {
                "/instances/" + server.id + "/heartbeat", server.heartbeat(service, number)
            });
        }
        return all;
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "stand-in");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() {
        closed = true;
        platform.stop(0);
        for (Server server : servers) {
            try {
                server.socket.close();
            } catch (IOException e) {
                // It is closed.
            }
        }
    }

    private final class Server {
        final String id;
        final ServerSocket socket;
        final int zone;
        final long born = System.currentTimeMillis();
        final Semaphore slots = new Semaphore(SLOTS, true);
        long sequence;

        Server(String id, String host, int zone) throws IOException {
            this.id = id;
            this.zone = zone;
            this.socket = new ServerSocket(0, 100, InetAddress.getByName(host));
            daemon(this::accept);
        }

        void beat(List<String> controls) {
            while (!closed) {
                String body = heartbeat(SERVICE, ++sequence);
                for (String control : controls) {
                    String path = "/instances/" + id + "/heartbeat";
                    if (harness.call(control, "POST", path, body, 1000).status() == 200) {
                        break;
                    }
                }
                Harness.sleep(1_200);
            }
        }

        String heartbeat(String service, long number) {
            return "{\"service\":\"" + service + "\",\"address\":\""
                    + socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort()
                    + "\",\"zone\":\"z" + zone + "\",\"version\":\"v1\",\"capacity\":" + SLOTS
                    + ",\"state\":\"ready\",\"cold_remaining_ms\":0,\"db_role\":\""
                    + (leads(id) ? "primary" : "replica") + "\",\"sequence\":" + number
                    + ",\"born\":" + born + "}";
        }

        private void accept() {
            while (!closed) {
                try {
                    Socket connection = socket.accept();
                    daemon(() -> serve(connection));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                connection.setTcpNoDelay(true);
                BufferedReader lines = new BufferedReader(new InputStreamReader(
                        connection.getInputStream(), StandardCharsets.ISO_8859_1));
                Session session = new Session(this, connection.getOutputStream());
                String line = lines.readLine();
                while (line != null && session.received(line)) {
                    line = lines.readLine();
                }
            } catch (IOException e) {
                // A connection that is closed rolls back.
            }
        }
    }

    private final class Session {
        private final Server server;
        private final OutputStream out;
        private final Set<String> prepared = new HashSet<>();
        private final Map<String, String> writes = new HashMap<>();
        private String state = "I";
        private boolean readOnly;

        Session(Server server, OutputStream out) {
            this.server = server;
            this.out = out;
        }

        /** Handles a line; returns false if the connection ends. */
        boolean received(String line) throws IOException {
            String[] parts = line.split(" ", 3);
            if (parts[0].equals("CONNECT")) {
                String[] words = line.split(" ");
                boolean right = words[1].equals(SERVICE)
                        && (words.length < 4 || words[3].equals(server.id));
                send(right ? ready() : "ERROR MISROUTED " + server.id + "\r\n");
                return right;
            }
            if (!parts[0].equals("QUERY")) {
                return false;
            }
            query(parts[1], parts[2]);
            return true;
        }

        private void query(String id, String whole) throws IOException {
            String text = whole;
            if (text.startsWith("AFTER ")) {
                String[] parts = text.split(" ", 3);
                text = parts[2];
                if (lacks(parts[1])) {
                    error("LAGGING");
                    return;
                }
            }
            String[] words = text.split(" ");
            boolean leads = leads(server.id);
            boolean plain = state.equals("T") && !readOnly;
            switch (words[0]) {
                case "BEGIN" -> {
                    readOnly = words.length > 1;
                    if (!readOnly && !leads) {
                        error("READONLY");
                        return;
                    }
                    state = "T";
                    done("-");
                }
                case "ROLLBACK" -> {
                    end();
                    done("-");
                }
                case "SET" -> done("-");
                case "RESET" -> {
                    prepared.clear();
                    done("-");
                }
                case "PREPARE" -> {
                    prepared.add(words[1]);
                    done("-");
                }
                case "DEALLOC" -> done("-");
                case "STATUS", "SUSPEND", "RESUME", "STEPDOWN" -> {
                    send("ROW " + (leads ? "primary " : "replica ") + term + " " + position()
                            + " 0 0 0 1\r\n");
                    done("-");
                }
                default -> work(id, text, words, leads, plain);
            }
        }

        private void work(String id, String text, String[] words, boolean leads, boolean plain)
                throws IOException {
            boolean write = words[0].equals("WRITE");
            if (words[0].equals("EXECUTE") && !prepared.contains(words[1])) {
                error("UNKNOWN");
                return;
            }
            if (!leads && (write || plain)) {
                error("READONLY");
                return;
            }
            server.slots.acquireUninterruptibly();
            begun.add(id);
            try {
                harness.note("server " + server.id + " runs " + id + " "
                        + text.substring(0, Math.min(40, text.length())));
                Harness.sleep(workMillis);
                harness.note("server " + server.id + " has run " + id);
            } finally {
                server.slots.release();
            }
            String row = "";
            synchronized (Group.this) {
                if (write) {
                    writes.put(words[1], words[2]);
                    if (state.equals("I")) {
                        commit();
                    }
                } else if (words[0].equals("COMMIT")) {
                    commit();
                    end();
                } else {
                    row = "ROW " + items.getOrDefault(words[1], "nothing") + "\r\n";
                }
            }
            send(row);
            done(term + "." + Long.toHexString(signatures.incrementAndGet()) + "." + server.id);
        }

        private void commit() {
            if (!writes.isEmpty()) {
                items.putAll(writes);
                number++;
                writes.clear();
            }
        }

        private void end() {
            state = "I";
            readOnly = false;
            writes.clear();
        }

        private boolean lacks(String demanded) {
            String[] parts = demanded.split("\\.");
            synchronized (Group.this) {
                long demandedTerm = Long.parseLong(parts[0]);
                return demandedTerm > term
                        || (demandedTerm == term && Long.parseLong(parts[1]) > number);
            }
        }

        private void error(String code) throws IOException {
            send("ERROR " + code + " " + server.id + "\r\n" + ready());
        }

        private void done(String signature) throws IOException {
            send("COMPLETE " + signature + "\r\n" + ready());
        }

        private String ready() {
            return "READY " + state + " " + position() + "\r\n";
        }

        private void send(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }
}
