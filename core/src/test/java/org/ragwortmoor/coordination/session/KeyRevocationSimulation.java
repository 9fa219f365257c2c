package org.ragwortmoor.coordination.session;

import io.vavr.collection.LinkedHashMap;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.ragwortmoor.coordination.workspace.ReportConfirmation;
import org.ragwortmoor.state.routes.GroupLimits;
import org.ragwortmoor.state.routes.RouteTable;
import org.ragwortmoor.state.statement.MessageKind;
import org.ragwortmoor.state.statement.StatementMessage;
import org.ragwortmoor.state.workspace.Workspace;

/** A deployment whose callers and faults are determined by a seed. */
final class KeyRevocationSimulation {
    private static final long LIMIT_MILLIS = 5_000;
    private static final int PROXIES = 4;
    private static final int CLIENTS = 16;
    private static final int KEYS = 30;

    /** A directory process that leads, or was deposed and does not know. */
    private static final class Leader {
        private final Map<String, ReportConfirmation> reports = new HashMap<>();
        private List<Workspace> workspaces;
        private long revision;
        private Option<Long> contactAt = Option.none();
    }

    private final SplittableRandom random;
    private final SimulatedHost host = new SimulatedHost();
    private final List<FakeServer> servers = new ArrayList<>();
    private final List<Proxy> proxies = new ArrayList<>();
    private final List<Client> clients = new ArrayList<>();
    private final KeyRevocationHistory history = new KeyRevocationHistory(LIMIT_MILLIS);
    private Leader leader = new Leader();
    private Option<Leader> deposed = Option.none();
    private boolean faults = true;

    KeyRevocationSimulation(long seed) {
        random = new SplittableRandom(seed);
        for (int i = 1; i <= 3; i++) {
            FakeServer server = new FakeServer(host, "s" + i, "abc".substring(i - 1, i), i == 1);
            server.setMaxConnections(ForwardingFixture.MAX_CONNECTIONS);
            servers.add(server.setListener((s, id, text, p, c) -> history.executed(id, text)));
        }
        leader.revision = 1;
        leader.workspaces = workspaces();
        for (int i = 0; i < PROXIES; i++) {
            proxies.add(new Proxy("p" + i));
        }
        repeat(80, 80, this::heartbeat);
        repeat(500, 1_500, this::withdraw);
        repeat(300, 1_500, this::fault);
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Client());
        }
    }

    private void repeat(int minMillis, int maxMillis, Runnable task) {
        host.afterMillis(
                random.nextInt(minMillis, maxMillis + 1),
                () -> {
                    task.run();
                    repeat(minMillis, maxMillis, task);
                });
    }

    private List<Workspace> workspaces() {
        List<String> keys = new ArrayList<>();
        for (int i = 0; i < KEYS; i++) {
            if (!history.withdrawn("k" + i)) {
                keys.add("k" + i);
            }
        }
        int middle = random.nextInt(keys.size());
        return List.of(
                new Workspace("moor", keys.subList(0, middle), 0, Option.none()),
                new Workspace("fen", keys.subList(middle, keys.size()), 0, Option.none()));
    }

    private RouteTable table(Leader by) {
        return new RouteTable(
                by.revision,
                Deployment.routes(1).routes(),
                List.of(new GroupLimits("g", ForwardingFixture.MAX_CONNECTIONS, 0)),
                3_000,
                Option.some(by.workspaces),
                "");
    }

    private void heartbeat() {
        Leader sender = leader;
        long sentAt = host.now();
        host.afterMillis(
                10,
                () -> {
                    if (sender == leader) {
                        sender.contactAt = Option.some(sentAt);
                    }
                });
    }

    /** Withdraws a key, and moves others to another workspace. */
    private void withdraw() {
        if (history.withdrawnCount() < KEYS / 2) {
            history.withdraw("k" + random.nextInt(KEYS), host.now());
        }
        leader.workspaces = workspaces();
        leader.revision++;
        proxies.forEach(proxy -> answer(leader, proxy, proxy.incarnation));
    }

    private void fault() {
        if (!faults) {
            return;
        }
        Proxy proxy = proxies.get(random.nextInt(PROXIES));
        int length = random.nextInt(100, 9_000);
        switch (random.nextInt(6)) {
            case 0 -> {
                proxy.process.freeze(length, random.nextBoolean());
                // Otherwise updates that waited meanwhile are read before the callers'
                // messages.
                proxy.cutOff(length + random.nextInt(2) * 500, Option.none());
            }
            case 1 -> proxy.restart();
            case 2 -> proxy.cutOff(length, Option.none());
            case 3 -> proxy.cutOff(length, deposed);
            case 4 -> changeLeader();
            default -> {
                changeLeader();
                proxy.cutOff(length, deposed);
            }
        }
    }

    private void changeLeader() {
        Leader successor = new Leader();
        successor.workspaces = leader.workspaces;
        successor.revision = leader.revision;
        deposed = Option.some(leader);
        leader = successor;
    }

    private int delayMillis() {
        return random.nextInt(20) == 0 ? random.nextInt(2_000) : random.nextInt(1, 20);
    }

    private void answer(Leader by, Proxy proxy, long incarnation) {
        if (random.nextInt(20) == 0) {
            return;
        }
        ReportConfirmation reports =
                by.reports.computeIfAbsent(proxy.name, n -> new ReportConfirmation());
        RouteTable table = table(by);
        long confirmed = by.contactAt.map(reports::newestConfirmed).getOrElse(0L);
        host.afterMillis(
                delayMillis(),
                () -> {
                    boolean reachable = by == proxy.leader();
                    if (reachable && proxy.incarnation == incarnation) {
                        proxy.process.run(() -> proxy.apply(table, confirmed));
                    }
                });
    }

    /** A proxy that reports to a leader. */
    private final class Proxy {
        private final String name;
        private final FreezableHost process;
        private SessionEngine engine;
        private long incarnation;
        private long nextReport;
        private long lastReportAt;
        private boolean cutOff;
        private Option<Leader> deposedLeader = Option.none();

        Proxy(String name) {
            this.name = name;
            this.process = new FreezableHost(host, name, Set.of());
            start();
        }

        private void start() {
            incarnation++;
            nextReport = incarnation * 1_000_000;
            engine =
                    new SessionEngine(process, new ProxyIdentity(name, "a"), new NoOpDecisionLog());
            engine.setLeasesRequired(false);
            engine.setKeyRevocationLimit(LIMIT_MILLIS);
            host.setEngine(name, engine);
            tick();
        }

        void restart() {
            process.restart();
            host.setEngine(name, null);
            host.closeConnections(name);
            clients.forEach(client -> client.lost(this));
            start();
        }

        void cutOff(int millis, Option<Leader> with) {
            cutOff = true;
            deposedLeader = with;
            host.afterMillis(
                    millis,
                    () -> {
                        cutOff = false;
                        deposedLeader = Option.none();
                    });
        }

        /** Returns the leader that this proxy reaches, or null. */
        private Leader leader() {
            return cutOff ? deposedLeader.getOrNull() : leader;
        }

        private void tick() {
            engine.tick();
            long interval = engine.reportUrgent(Long.MAX_VALUE) ? 150 : 500;
            if (process.now() - lastReportAt >= interval * 1_000_000) {
                lastReportAt = process.now();
                report();
            }
            process.schedule(process.now() + SessionEngine.tickNanos(), this::tick);
        }

        private void report() {
            long id = ++nextReport;
            engine.observations(id);
            Leader to = leader();
            if (to == null || random.nextInt(20) == 0) {
                return;
            }
            long sender = incarnation;
            host.afterMillis(
                    delayMillis(),
                    () -> {
                        to.reports
                                .computeIfAbsent(name, n -> new ReportConfirmation())
                                .recordArrival(sender, id, host.now());
                        answer(to, this, sender);
                    });
        }

        private void apply(RouteTable table, long confirmed) {
            LinkedHashMap<String, String> neighbours = LinkedHashMap.empty();
            for (Proxy proxy : proxies) {
                neighbours = neighbours.put(proxy.name, "10.1.0.1:" + proxy.name);
            }
            engine.update(
                    new DirectoryView(
                            table,
                            table.version(),
                            servers.stream().map(FakeServer::record).toList(),
                            1,
                            new Fleet(2 * PROXIES, 2, neighbours)));
            if (engine.view().routesRevision() == table.version()) {
                engine.reportConfirmed(confirmed);
            }
        }
    }

    /** A caller that goes on with its key for a while after it was withdrawn. */
    private final class Client {
        private final int number = host.nextNumber();
        private String key = "";
        private Proxy proxy;
        private CallerSession session;
        private String current = "";
        private int statements;
        private int refusals;
        private int served;
        private boolean inTransaction;

        Client() {
            connect();
            repeat(20, 300, this::next);
        }

        private void connect() {
            if (refusals > 40 || key.isEmpty()) {
                refusals = 0;
                do {
                    key = "k" + random.nextInt(KEYS);
                } while (history.withdrawn(key));
            }
            proxy = proxies.get(random.nextInt(PROXIES));
            Connection connection = new Connection();
            connection.session = proxy.engine.accept(connection);
            session = connection.session;
            inTransaction = false;
            current = "connect";
            send(StatementMessage.of(MessageKind.CONNECT, "own", key));
        }

        void lost(Proxy restarted) {
            if (proxy == restarted) {
                session = null;
            }
        }

        private void send(StatementMessage message) {
            CallerSession to = session;
            host.afterMillis(
                    random.nextInt(1, 10),
                    () ->
                            proxy.process.run(
                                    () -> {
                                        if (to == session) {
                                            to.received(message);
                                        }
                                    }));
        }

        private void next() {
            if (session == null) {
                connect();
                return;
            }
            if (!current.isEmpty()) {
                return;
            }
            String name = "r" + ++statements + "-" + number;
            int choice = random.nextInt(10);
            String text =
                    choice < 2 && !inTransaction
                            ? "BEGIN"
                            : choice < 2 ? "COMMIT" : choice < 6 ? "READ " : "WRITE x ";
            current = name;
            history.sent(name, key, host.now());
            send(
                    StatementMessage.of(
                            MessageKind.QUERY, name, text.endsWith(" ") ? text + name : text));
        }

        private void answered(List<StatementMessage> messages) {
            String code = "";
            for (StatementMessage message : messages) {
                if (message.kind() == MessageKind.ERROR) {
                    code = message.field(0);
                } else if (message.kind() == MessageKind.READY) {
                    inTransaction = !message.field(0).equals("I");
                }
            }
            refusals += code.equals("UNAUTH") ? 1 : 0;
            history.answered(current, key, code, host.now());
            served += code.isEmpty() ? 1 : 0;
            current = "";
        }

        /** A connection of the caller; what arrives after its end is ignored. */
        private final class Connection implements SessionHost.CallerLink {
            private CallerSession session;

            @Override
            public void send(List<StatementMessage> messages) {
                if (session == null || session == Client.this.session) {
                    answered(messages);
                }
            }

            @Override
            public void close() {
                if (session == null || session == Client.this.session) {
                    Client.this.session = null;
                }
            }
        }
    }

    /** Advances time; returns what is wrong until then. */
    List<String> advance(long millis) {
        host.advance(millis);
        return history.violations();
    }

    KeyRevocationHistory history() {
        return history;
    }

    void endFaults() {
        faults = false;
    }

    /** Returns the callers with valid keys that are not served within some time. */
    List<String> unservedWithin(long millis) {
        clients.forEach(client -> client.served = 0);
        host.advance(millis);
        return clients.stream()
                .filter(client -> client.served == 0 && !history.withdrawn(client.key))
                .map(client -> client.number + " with " + client.key)
                .toList();
    }
}
