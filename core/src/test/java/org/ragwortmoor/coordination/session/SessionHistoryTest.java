package org.ragwortmoor.coordination.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.ServerRecord;

/**
 * Random faults, promotions and statements at two proxies: no read older than its route allows, no
 * write twice, no promise for a write that is kept.
 */
class SessionHistoryTest {
    private static final int RUNS = 60;
    private static final int STEPS = 400;
    private static final List<String> DATABASES = List.of("strong", "bounded", "own");

    /** A deployment, its callers and the faults that one seed gives it. */
    private static final class Run {
        private final SplittableRandom random;
        private final VirtualHost host = new VirtualHost();
        private final SessionHistory history = new SessionHistory();
        private final List<FakeServer> servers = new ArrayList<>();
        private final List<Set<String>> cuts = new ArrayList<>();
        private final List<SessionEngine> engines = new ArrayList<>();
        private final List<Client> clients = new ArrayList<>();
        private final Set<FakeServer> deaf = new HashSet<>();
        private final boolean[] stale = new boolean[2];
        private FakeServer primary;
        private long revision;
        private int successes;

        Run(long seed) {
            random = new SplittableRandom(seed);
            for (int i = 1; i <= 3; i++) {
                FakeServer server =
                        new FakeServer(host, "s" + i, "abc".substring(i - 1, i), i == 1);
                servers.add(server.listen(history::ran));
            }
            primary = servers.get(0);
            for (int i = 0; i < 2; i++) {
                cuts.add(new HashSet<>());
                String zone = i == 0 ? "a" : "b";
                engines.add(new SessionEngine(host.proxy(cuts.get(i)), zone, new SilentLog()));
            }
            distribute();
            engines.forEach(this::tick);
            host.run(600);
            for (int i = 0; i < 12; i++) {
                clients.add(new Client(engines.get(i % 2), DATABASES.get(i % 3)));
            }
        }

        private void tick(SessionEngine engine) {
            engine.tick();
            host.schedule(host.now() + SessionEngine.tickNanos(), () -> tick(engine));
        }

        /** Gives the directory to the proxies that are in touch with it. */
        private void distribute() {
            revision++;
            List<ServerRecord> records =
                    servers.stream().map(s -> s.record().withPrimary(s == primary)).toList();
            for (int i = 0; i < engines.size(); i++) {
                if (!stale[i]) {
                    engines.get(i)
                            .update(
                                    new DirectoryView(
                                            Deployment.routes(1), revision, records, revision, 2));
                }
            }
        }

        void play() {
            for (int step = 0; step < STEPS; step++) {
                fault(random.nextInt(100));
                replicate();
                clients.get(random.nextInt(clients.size())).act();
                host.run(random.nextInt(1, 25));
                clients.forEach(Client::collect);
            }
            host.run(4_000);
            clients.forEach(Client::collect);
        }

        private void fault(int kind) {
            FakeServer any = servers.get(random.nextInt(servers.size()));
            int proxy = random.nextInt(2);
            switch (kind) {
                case 0 -> any.lose(random.nextInt(1, 3));
                case 1 -> any.busy(random.nextInt(1, 3));
                case 2 -> any.goDark(true);
                case 3, 4, 5 -> servers.forEach(s -> s.goDark(false));
                case 6 -> any.crash();
                case 7, 8 -> servers.forEach(FakeServer::restart);
                case 9 -> promote();
                case 10 -> cuts.get(proxy).add(any.record().address());
                case 11 -> cuts.get(proxy).clear();
                case 12 -> stale[proxy] = true;
                case 13, 14 -> {
                    stale[0] = false;
                    stale[1] = false;
                    distribute();
                }
                case 15 -> deaf.add(any);
                case 16 -> deaf.remove(any);
                default -> {}
            }
        }

        /** Replicas receive what the primary has, some of them later than others. */
        private void replicate() {
            for (FakeServer server : servers) {
                boolean reaches = !server.dark() && !primary.dark() && !server.refuses();
                if (server != primary && reaches && !primary.refuses() && !deaf.contains(server)) {
                    server.at(primary.position().term(), primary.position().index());
                }
            }
        }

        private void promote() {
            FakeServer next = servers.get(random.nextInt(servers.size()));
            if (next == primary || next.refuses()) {
                return;
            }
            Position kept = next.position();
            history.promoted(kept);
            primary.lead(false);
            long term = primary.position().term() + 1;
            next.lead(true).at(term, kept.index());
            primary = next;
            // What others had beyond the new leader's log is rolled back.
            servers.stream()
                    .filter(s -> s.position().index() > kept.index() && s != next)
                    .forEach(s -> s.at(kept.term(), kept.index()));
            distribute();
        }

        private final class Client {
            private final SessionEngine engine;
            private final String database;
            private Caller caller;
            private String open = "";

            Client(SessionEngine engine, String database) {
                this.engine = engine;
                this.database = database;
                this.caller = new Caller(host, engine, database);
            }

            void act() {
                if (!open.isEmpty()) {
                    return;
                }
                if (caller.closed()) {
                    caller = new Caller(host, engine, database);
                }
                String text =
                        switch (random.nextInt(8)) {
                            case 0 -> "BEGIN";
                            case 1, 2 -> "COMMIT";
                            case 3, 4 -> "WRITE x " + random.nextInt(100);
                            default -> "READ x";
                        };
                history.asks(caller, database, caller.nextId(), text, host.now());
                open = caller.send(text);
            }

            void collect() {
                String answer = caller.answer();
                if (open.isEmpty() || !answer.contains("READY ")) {
                    return;
                }
                history.answered(open, answer, host.now());
                successes += answer.contains("COMPLETE signed-") ? 1 : 0;
                open = "";
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void promisesHoldOverPromotionsCutsAndRestarts(long block) {
        for (int i = 0; i < RUNS; i++) {
            long seed = block * 1_000 + i;
            Run run = new Run(seed);
            run.play();
            assertThat(run.history.problems()).as("seed %s", seed).isEmpty();
            assertThat(run.successes).as("seed %s", seed).isPositive();
        }
    }

    @Test
    void aWrongHistoryIsFound() {
        SessionHistory history = new SessionHistory();
        FakeServer server = new FakeServer(new VirtualHost(), "s1", "a", true);
        history.asks("c", "strong", "w", "WRITE x 1", 10);
        history.ran(server, "w", "WRITE x 1", new Position(1, 1), new Position(1, 2));
        history.answered("w", "COMPLETE signed-s1; READY I 1.2", 20);
        history.asks("c", "strong", "r", "READ x", 30);
        history.ran(server, "r", "READ x", new Position(1, 1), null);
        history.ran(server, "w", "WRITE x 1", new Position(1, 2), new Position(1, 3));
        history.answered("w", "ERROR BUSY s1; READY I -", 40);
        history.ran(server, "u", "READ x", new Position(1, 2), null);
        assertThat(String.join("\n", history.problems()))
                .contains("lacks", "took effect twice", "was refused and is kept", "no caller");
    }
}
