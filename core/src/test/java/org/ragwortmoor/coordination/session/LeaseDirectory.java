package org.ragwortmoor.coordination.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import org.ragwortmoor.coordination.directory.PrimaryLeaseTable;

/**
 * A simulated directory that grants leases on the primary of group {@code g} to proxies. Reports
 * and their answers are delayed by random times and may be lost.
 */
final class LeaseDirectory {
    private static final String GROUP = "g";
    private static final long REPORT_INTERVAL_MILLIS = 150;
    private static final int MAX_DELAY_MILLIS = 120;

    private final SimulatedHost host;
    private final SplittableRandom random;
    private final PrimaryLeaseTable table;
    private final List<Proxy> proxies = new ArrayList<>();
    private boolean withheld;

    LeaseDirectory(SimulatedHost host, SplittableRandom random, long leaseMillis) {
        this.host = host;
        this.random = random;
        this.table = new PrimaryLeaseTable(leaseMillis);
    }

    boolean required() {
        return table.required();
    }

    /** Adds a proxy, which reports while it is connected. */
    void addProxy(String name, SessionEngine engine, BooleanSupplier connected) {
        Proxy proxy = new Proxy(name, engine, connected);
        proxies.add(proxy);
        proxy.report();
    }

    /** Withholds the leases, which usually reaches the connected proxies at once. */
    void withhold() {
        withheld = true;
        table.withhold(GROUP);
        if (random.nextInt(4) > 0) {
            proxies.stream()
                    .filter(p -> p.connected.getAsBoolean())
                    .forEach(p -> p.engine.withholdLeases(Set.of(GROUP)));
        }
    }

    void resume() {
        withheld = false;
        table.resume(GROUP);
    }

    boolean outstanding() {
        return table.outstanding(GROUP, host.now());
    }

    private final class Proxy {
        private final String name;
        private final SessionEngine engine;
        private final BooleanSupplier connected;
        private long reportId;
        private long lastArrivalAt;

        Proxy(String name, SessionEngine engine, BooleanSupplier connected) {
            this.name = name;
            this.engine = engine;
            this.connected = connected;
        }

        void report() {
            host.afterMillis(REPORT_INTERVAL_MILLIS, this::report);
            if (!required() || !connected.getAsBoolean()) {
                return;
            }
            long id = ++reportId;
            List<PrimaryLeaseTable.LeaseStatement> statements = new ArrayList<>();
            Map<String, String> requested = new HashMap<>();
            for (PrimaryObservation seen : engine.observations(id)) {
                statements.add(
                        new PrimaryLeaseTable.LeaseStatement(
                                seen.group(), seen.holdsLease(), seen.needsLease()));
                if (seen.needsLease()) {
                    requested.put(seen.group(), seen.server());
                }
            }
            LeaseAnswer answer =
                    new LeaseAnswer(
                            id,
                            host.now(),
                            engine.clockOffsetMillis(),
                            requested,
                            table.durationMillis() * 1_000_000);
            deliver(() -> arrive(id, statements, answer));
        }

        private void arrive(
                long id, List<PrimaryLeaseTable.LeaseStatement> statements, LeaseAnswer answer) {
            if (!connected.getAsBoolean()) {
                return;
            }
            if (table.recordReport(name, 1, id, statements, host.now())) {
                Set<String> refused = withheld ? Set.of(GROUP) : Set.of();
                deliver(() -> engine.grantLeases(answer, refused));
            }
        }

        /** Delivers a message in order, after a random delay. */
        private void deliver(Runnable message) {
            long at = host.now() + random.nextInt(1, MAX_DELAY_MILLIS) * 1_000_000L;
            lastArrivalAt = Math.max(at, lastArrivalAt);
            host.schedule(lastArrivalAt, message);
        }
    }
}
