package org.ragwortmoor.coordination.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.protocol.QuotaCodec;

/**
 * A directory process that leads, or believes that it does. Once it is deposed, no majority
 * confirms it any more.
 */
final class SimulatedLeader {
    private static final long TICK = TimeUnit.MILLISECONDS.toNanos(20);
    private static final long HEARTBEAT = TimeUnit.MILLISECONDS.toNanos(80);
    private static final long CONFIRMATION_INTERVAL = TimeUnit.MILLISECONDS.toNanos(10);
    private static final long COUNTED = TimeUnit.SECONDS.toNanos(10);
    private static final long SETTLING = TimeUnit.SECONDS.toNanos(3);
    private static final long DECREASE = TimeUnit.SECONDS.toNanos(30);

    private final QuotaSimulation simulation;
    private final QuotaLedger ledger;
    private final SimulatedClock clock;
    private final Map<String, Long> reported = new HashMap<>();
    private final long electedAt;
    private long decreaseSince;
    private long contactAt;
    private long routesRevision;
    private boolean confirmationNeeded;
    private long confirmedAt;
    private boolean answering = true;
    private boolean deposed;
    private boolean unreachable;

    SimulatedLeader(QuotaSimulation simulation, long term, SimulatedClock clock) {
        this.simulation = simulation;
        this.clock = clock;
        this.electedAt = simulation.time();
        this.decreaseSince = electedAt;
        this.contactAt = now();
        ledger = new QuotaLedger(simulation.settings());
        ledger.elected(term, simulation.recordedProxies(), now());
        simulation.after(0, this::tick);
        simulation.after(0, this::heartbeat);
    }

    private long now() {
        return clock.read(simulation.time());
    }

    /** Makes this leader a deposed one that still believes that it leads. */
    void depose() {
        deposed = true;
    }

    /** Cuts this leader off from the majority, or ends that. */
    void setUnreachable(boolean value) {
        unreachable = value;
    }

    void stop() {
        answering = false;
    }

    long routesRevision() {
        return routesRevision;
    }

    QuotaLedger ledger() {
        return ledger;
    }

    private void heartbeat() {
        contactMajority();
        if (answering) {
            simulation.after(HEARTBEAT, this::heartbeat);
        }
    }

    private void contactMajority() {
        long sentAt = now();
        if (!deposed && !unreachable) {
            simulation.after(
                    simulation.delay(),
                    () -> {
                        if (!deposed && !unreachable) {
                            contactAt = Math.max(contactAt, sentAt);
                            confirm();
                        }
                    });
        }
    }

    /** Contacts the majority without waiting for the next heartbeat. */
    private void confirmSoon() {
        if (confirmationNeeded && simulation.time() - confirmedAt >= CONFIRMATION_INTERVAL) {
            confirmationNeeded = false;
            confirmedAt = simulation.time();
            contactMajority();
        }
    }

    void receive(byte[] message, QuotaSimulation.ReplyPath reply) {
        if (answering) {
            var report = simulation.parseReport(message);
            reported.put(report.getProxy(), simulation.time());
            UsageReport usage = QuotaCodec.decode(report);
            ledger.record(
                    new QuotaLedger.Process(report.getProxy(), report.getIncarnation()),
                    report.getId(),
                    usage,
                    now());
            confirmationNeeded |= usage.usage().stream().anyMatch(u -> u.waiting() > 0);
            confirmSoon();
            simulation.setReplyPath(this, report.getProxy(), report.getIncarnation(), reply);
        }
    }

    private void tick() {
        if (!answering) {
            return;
        }
        if (!deposed && !unreachable) {
            // A deposed leader does not learn what its successor commits.
            countProxies();
            ledger.setRecordedProxies(simulation.recordedProxies());
            ledger.setWorkspaces(simulation.workspaces(), simulation.routesRevision());
            routesRevision = simulation.routesRevision();
        }
        confirm();
        confirmSoon();
        simulation.after(TICK, this::tick);
    }

    private void confirm() {
        if (answering) {
            for (QuotaLedger.Answer answer : ledger.confirm(contactAt, now())) {
                simulation.answer(this, answer);
            }
        }
    }

    private void countProxies() {
        long time = simulation.time();
        reported.values().removeIf(at -> time - at > COUNTED);
        int counted = reported.size();
        int recorded = simulation.recordedProxies();
        if (counted >= recorded) {
            decreaseSince = time;
        }
        if (counted > recorded && time - electedAt >= SETTLING) {
            simulation.recordProxies(counted);
        } else if (time - decreaseSince >= DECREASE && ledger.memberCount() <= counted) {
            simulation.recordProxies(counted);
            decreaseSince = time;
        }
    }
}
