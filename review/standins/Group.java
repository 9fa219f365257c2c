import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.*;

/**
 * A stand-in for one replicated database service of PROTOCOL.md: a primary and its replicas, each
 * with an address of its own. Lines end with CR LF only. Work takes no time and never fails.
 */
final class Group {
    /** A commit in the log. */
    record Entry(long term, long number, String statementId, Map<String, String> data) {
        String position() {
            return term + "." + number;
        }
    }

    final String service;
    final int syncReplicas;
    final Record record;
    final long promoteMillis;
    final List<Server> servers = new CopyOnWriteArrayList<>();
    final ScheduledExecutorService timers = Executors.newScheduledThreadPool(2, Standins::daemon);
    /** Positions of the commits that were acknowledged to the connection that committed. */
    final Set<String> acknowledged = new LinkedHashSet<>();
    /** Acknowledged commits that a promoted server lacked. */
    final List<String> lostByPromotion = new ArrayList<>();
    /** Id, text and server of each statement that was run, as they arrived. */
    final List<String[]> run = new ArrayList<>();
    /** Data that the servers hold from the start. */
    final Map<String, String> initialData = new ConcurrentHashMap<>();
    int promotions;

    Group(String service, int syncReplicas, long promoteMillis, Record record) {
        this.service = service;
        this.syncReplicas = syncReplicas;
        this.promoteMillis = promoteMillis;
        this.record = record;
    }

    Server add(String id, String zone, InetSocketAddress address, boolean primary)
            throws IOException {
        Server server = new Server(id, zone, address, primary);
        servers.add(server);
        server.listen();
        return server;
    }

    synchronized Server primary() {
        return servers.stream().filter(s -> s.primary && !s.down).findFirst().orElse(null);
    }

    Server server(String id) {
        return servers.stream().filter(s -> s.id.equals(id)).findFirst().orElse(null);
    }

    /** Carries out a promotion, as the platform does some time after the call. */
    void promote(Server next) {
        timers.schedule(
                () -> {
                    synchronized (this) {
                        if (next.primary) {
                            return;
                        }
                        promotions++;
                        long term = 0;
                        for (Server s : servers) {
                            term = Math.max(term, s.term);
                        }
                        for (Server s : servers) {
                            if (s.primary) {
                                s.primary = false;
                                s.failTransactions();
                            }
                        }
                        Set<String> held = new HashSet<>();
                        next.log.forEach(e -> held.add(e.position()));
                        List<String> missing = new ArrayList<>();
                        for (String position : acknowledged) {
                            if (!held.contains(position)) {
                                missing.add(position);
                            }
                        }
                        record.line(
                                "promoted " + next.id + " to term " + (term + 1) + " with its log up to "
                                        + next.position() + "; acknowledged commits that it lacks: "
                                        + missing.size() + " " + missing);
                        lostByPromotion.addAll(missing);
                        next.primary = true;
                        next.heldTerm = 0;
                        for (Server s : servers) {
                            s.term = term + 1;
                            if (s != next && !s.down) {
                                // What a replica has beyond the log of its new primary is rolled back.
                                s.log.removeIf(e -> !held.contains(e.position()));
                                s.heldTerm = 0;
                            }
                        }
                        replicate();
                        next.beatSoon();
                    }
                },
                promoteMillis,
                TimeUnit.MILLISECONDS);
    }

    /** Passes on the primary's log to the replicas that receive. */
    synchronized void replicate() {
        Server from = primary();
        if (from == null) {
            return;
        }
        for (Server to : servers) {
            if (to != from && !to.down && !to.deaf && to.heldTerm <= from.term) {
                timers.schedule(() -> receive(from, to), to.networkMillis, TimeUnit.MILLISECONDS);
            }
        }
    }

    private synchronized void receive(Server from, Server to) {
        boolean receives =
                from.primary && !from.down && !to.down && !to.deaf && !to.primary
                        && to.heldTerm <= from.term;
        if (!receives) {
            return;
        }
        int same = 0;
        while (same < to.log.size() && same < from.log.size()
                && to.log.get(same).position().equals(from.log.get(same).position())) {
            same++;
        }
        to.log.subList(same, to.log.size()).clear();
        to.log.addAll(from.log.subList(same, from.log.size()));
        to.term = from.term;
        from.acknowledgeSynced();
    }

    /** A server of the group. */
    final class Server {
        final String id;
        final String zone;
        final InetSocketAddress address;
        volatile long born = System.currentTimeMillis();
        final List<Entry> log = new ArrayList<>();
        final List<Connection> connections = new CopyOnWriteArrayList<>();
        final Deque<Runnable> awaitingSync = new ArrayDeque<>();
        final Deque<Integer> awaitingSize = new ArrayDeque<>();
        volatile boolean primary;
        volatile boolean down;
        volatile boolean draining;
        volatile long drainAcknowledgedAt;
        volatile boolean deaf;
        volatile long networkMillis = 1;
        /** Source addresses that are partitioned from this server. */
        final Set<String> cutOff = ConcurrentHashMap.newKeySet();
        long term = 3;
        long heldTerm;
        long sequence;
        private ServerSocket socket;

        Server(String id, String zone, InetSocketAddress address, boolean primary) {
            this.id = id;
            this.zone = zone;
            this.address = address;
            this.primary = primary;
            log.add(new Entry(3, 100, "-", initialData));
        }

        String position() {
            return log.get(log.size() - 1).position();
        }

        void listen() throws IOException {
            socket = new ServerSocket();
            socket.setReuseAddress(true);
            socket.bind(address, 200);
            Thread accept =
                    Standins.daemon(
                            () -> {
                                while (true) {
                                    try {
                                        Socket s = socket.accept();
                                        if (down) {
                                            s.close();
                                            continue;
                                        }
                                        s.setTcpNoDelay(true);
                                        Connection c = new Connection(this, s);
                                        connections.add(c);
                                        Standins.daemon(c::serve).start();
                                    } catch (IOException e) {
                                        return;
                                    }
                                }
                            });
            accept.start();
        }

        /** The process ends at once: connections are reset, and no new ones are accepted. */
        void crash() {
            synchronized (Group.this) {
                down = true;
                awaitingSync.clear();
                awaitingSize.clear();
            }
            try {
                socket.close();
            } catch (IOException e) {
                // It accepts nothing any more.
            }
            connections.forEach(Connection::reset);
        }

        /** The process starts again with its log, as a replica if another server was promoted. */
        void restart() throws IOException {
            synchronized (Group.this) {
                down = false;
                born = System.currentTimeMillis();
                sequence = 0;
                heldTerm = 0;
                draining = false;
                drainAcknowledgedAt = 0;
            }
            listen();
            beatSoon();
            replicate();
        }

        void beatSoon() {
            timers.schedule(() -> Heartbeats.beat(this), 1, TimeUnit.MILLISECONDS);
        }

        Group group() {
            return Group.this;
        }

        void failTransactions() {
            connections.forEach(c -> c.deposed = c.leaderTransaction);
            awaitingSync.clear();
            awaitingSize.clear();
        }

        /** Returns the number of replicas that have received the log up to a size. */
        private long receivedBy(int size) {
            return servers.stream().filter(s -> s != this && !s.down && s.log.size() >= size).count();
        }

        void acknowledgeSynced() {
            while (!awaitingSize.isEmpty() && receivedBy(awaitingSize.peek()) >= syncReplicas) {
                awaitingSize.poll();
                awaitingSync.poll().run();
            }
        }

        String status() {
            long busy = 0;
            return "ROW " + (primary ? "primary" : "replica") + " " + term + " " + position() + " "
                    + heldTerm + " 0 " + busy + " " + connections.size();
        }

        String read(String item) {
            for (int i = log.size() - 1; i >= 0; i--) {
                String data = log.get(i).data().get(item);
                if (data != null) {
                    return data;
                }
            }
            return null;
        }
    }

    /** A connection to a server. */
    final class Connection {
        final Server server;
        final Socket socket;
        final Map<String, String> values = new HashMap<>();
        final Map<String, String> prepared = new HashMap<>();
        final Map<String, String> written = new LinkedHashMap<>();
        String state = "I";
        boolean leaderTransaction;
        volatile boolean deposed;
        private OutputStream out;

        Connection(Server server, Socket socket) {
            this.server = server;
            this.socket = socket;
        }

        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // It is closed.
            }
        }

        private boolean silent() {
            return server.cutOff.contains(socket.getInetAddress().getHostAddress());
        }

        void serve() {
            try (socket) {
                out = socket.getOutputStream();
                LineReader lines = new LineReader(socket.getInputStream());
                String greeting = lines.next();
                if (greeting == null) {
                    return;
                }
                while (silent()) {
                    Thread.sleep(50);
                }
                String[] words = greeting.split(" ");
                boolean right =
                        words.length >= 3 && words[0].equals("CONNECT") && words[1].equals(service)
                                && (words.length < 4 || words[3].equals(server.id));
                if (!right) {
                    send("ERROR MISROUTED " + server.id + "\r\n");
                    return;
                }
                ready("");
                for (String line = lines.next(); line != null; line = lines.next()) {
                    while (silent()) {
                        Thread.sleep(50);
                    }
                    if (line.equals("RELEASE")) {
                        return;
                    }
                    query(line);
                }
            } catch (IOException | InterruptedException e) {
                // The connection has ended; what is open is rolled back.
            } finally {
                server.connections.remove(this);
            }
        }

        private void send(String text) throws IOException {
            if (silent()) {
                return;
            }
            synchronized (this) {
                out.write(text.getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
        }

        private void ready(String before) throws IOException {
            String position;
            synchronized (Group.this) {
                position = server.position();
            }
            send(before + "READY " + state + " " + position + "\r\n");
        }

        private void error(String code) throws IOException {
            if (state.equals("T") && !code.equals("BUSY")) {
                state = "E";
            }
            ready("ERROR " + code + " " + server.id + "\r\n");
        }

        private void complete(String rows, boolean signed, String id, String text)
                throws IOException {
            ready(rows + "COMPLETE " + (signed ? signature(id, text) : "-") + "\r\n");
        }

        private String signature(String id, String text) {
            return Integer.toHexString((server.id + id + text).hashCode());
        }

        private void query(String line) throws IOException {
            String[] fields = line.split(" ", 3);
            if (fields.length < 3 || !fields[0].equals("QUERY")) {
                error("MALFORMED");
                return;
            }
            String id = fields[1];
            String text = fields[2];
            if (text.startsWith("AFTER ")) {
                String[] after = text.split(" ", 3);
                String[] position = after[1].split("\\.");
                synchronized (Group.this) {
                    if (!server.log.stream().anyMatch(e -> e.position().equals(after[1]))
                            && compare(server, position) < 0) {
                        error("LAGGING");
                        return;
                    }
                }
                text = after[2];
            }
            String[] words = text.split(" ", 3);
            if (state.equals("E") && !words[0].equals("ROLLBACK") && !words[0].equals("COMMIT")) {
                error("MALFORMED");
                return;
            }
            if (deposed && !words[0].equals("ROLLBACK")
                    && !(words[0].equals("COMMIT") && written.isEmpty())) {
                deposed = false;
                state = "I";
                leaderTransaction = false;
                written.clear();
                error("READONLY");
                return;
            }
            switch (words[0]) {
                case "BEGIN" -> {
                    boolean readOnly = words.length > 1;
                    if (!readOnly && !server.primary) {
                        error("READONLY");
                        return;
                    }
                    state = "T";
                    leaderTransaction = !readOnly;
                    written.clear();
                    complete("", false, id, text);
                }
                case "ROLLBACK" -> {
                    state = "I";
                    leaderTransaction = false;
                    deposed = false;
                    written.clear();
                    complete("", false, id, text);
                }
                case "SET" -> {
                    values.put(words[1], words[2]);
                    complete("", false, id, text);
                }
                case "RESET" -> {
                    values.clear();
                    prepared.clear();
                    complete("", false, id, text);
                }
                case "PREPARE" -> {
                    prepared.put(words[1], words[2]);
                    complete("", false, id, text);
                }
                case "DEALLOC" -> {
                    prepared.remove(words[1]);
                    complete("", false, id, text);
                }
                case "STATUS" -> ready(statusRow());
                case "SUSPEND" -> {
                    synchronized (Group.this) {
                        long asked = Long.parseLong(words[1]);
                        // Only a term above the newest one stops a replica from receiving.
                        if (!server.primary && asked > server.term) {
                            server.heldTerm = asked;
                        }
                    }
                    ready(statusRow());
                }
                case "RESUME" -> {
                    synchronized (Group.this) {
                        server.heldTerm = 0;
                    }
                    replicate();
                    ready(statusRow());
                }
                case "STEPDOWN" -> {
                    synchronized (Group.this) {
                        if (server.primary && server.term < Long.parseLong(words[1])) {
                            server.primary = false;
                            server.failTransactions();
                            server.beatSoon();
                        }
                    }
                    ready(statusRow());
                }
                case "READ", "WRITE", "EXECUTE", "COMMIT" -> work(id, text, words);
                default -> error("MALFORMED");
            }
        }

        private int compare(Server server, String[] position) {
            Entry last = server.log.get(server.log.size() - 1);
            int terms = Long.compare(last.term(), Long.parseLong(position[0]));
            return terms != 0 ? terms : Long.compare(last.number(), Long.parseLong(position[1]));
        }

        private String statusRow() {
            synchronized (Group.this) {
                return server.status() + "\r\nCOMPLETE -\r\n";
            }
        }

        private void work(String id, String text, String[] words) throws IOException {
            synchronized (Group.this) {
                run.add(new String[] {id, text, server.id});
            }
            String verb = words[0];
            if (verb.equals("COMMIT")) {
                commit(id, text);
                return;
            }
            boolean writes = verb.equals("WRITE");
            String item = words[1];
            String data = words.length > 2 ? words[2] : "";
            if (verb.equals("EXECUTE")) {
                String shape = prepared.get(words[1]);
                if (shape == null) {
                    error("UNKNOWN");
                    return;
                }
                writes = shape.startsWith("WRITE");
                String[] arguments = words[2].split(" ", 2);
                item = arguments[0];
                data = arguments.length > 1 ? arguments[1] : "";
            }
            if (!writes) {
                String found = written.get(item);
                if (found == null) {
                    synchronized (Group.this) {
                        found = server.read(item);
                    }
                }
                complete(found == null ? "" : "ROW " + found + "\r\n", true, id, text);
                return;
            }
            if (!server.primary) {
                error("READONLY");
                return;
            }
            written.put(item, data);
            if (state.equals("T")) {
                complete("", true, id, text);
            } else {
                commit(id, text);
            }
        }

        private void commit(String id, String text) throws IOException {
            state = "I";
            leaderTransaction = false;
            if (written.isEmpty()) {
                complete("", true, id, text);
                return;
            }
            synchronized (Group.this) {
                if (!server.primary) {
                    written.clear();
                    error("READONLY");
                    return;
                }
                Entry last = server.log.get(server.log.size() - 1);
                Entry entry =
                        new Entry(server.term, last.number() + 1, id, new LinkedHashMap<>(written));
                written.clear();
                server.log.add(entry);
                record.line("server " + server.id + " runs " + id + " and commits it as " + entry.position());
                Runnable acknowledge =
                        () -> {
                            acknowledged.add(entry.position());
                            record.line("server " + server.id + " acknowledges " + entry.position());
                            try {
                                send("COMPLETE " + signature(id, text) + "\r\nREADY I "
                                        + entry.position() + "\r\n");
                            } catch (IOException e) {
                                acknowledged.remove(entry.position());
                            }
                        };
                if (syncReplicas == 0) {
                    acknowledge.run();
                } else {
                    server.awaitingSize.add(server.log.size());
                    server.awaitingSync.add(acknowledge);
                }
                replicate();
            }
        }
    }

    /** Reads lines that end with CR LF, and with nothing else. */
    static final class LineReader {
        private final InputStream in;

        LineReader(InputStream in) {
            this.in = new BufferedInputStream(in, 1 << 16);
        }

        /** Returns the next line without its end, or null at the end of the connection. */
        String next() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            boolean carriageReturn = false;
            for (int b = in.read(); b >= 0; b = in.read()) {
                if (carriageReturn && b == '\n') {
                    byte[] bytes = line.toByteArray();
                    return new String(bytes, 0, bytes.length - 1, StandardCharsets.ISO_8859_1);
                }
                carriageReturn = b == '\r';
                line.write(b);
            }
            return null;
        }
    }
}
