package org.ragwortmoor.coordination.quota;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.coordination.workspace.OperationGate;
import org.ragwortmoor.protocol.QuotaCodec;
import org.ragwortmoor.protocol.wire.DirectoryUpdateMessage;
import org.ragwortmoor.protocol.wire.NodeReportMessage;
import org.ragwortmoor.state.workspace.Workspace;

/** A process of a proxy: reports, receives answers, and requests operations. */
final class SimulatedProxy implements QuotaHost {
    private static final long REPORT_INTERVAL = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long LEADER_TIMEOUT = TimeUnit.MILLISECONDS.toNanos(1_100);

    private final QuotaSimulation simulation;
    private final String name;
    private final long incarnation;
    private final SimulatedClock clock;
    private final QuotaAccount account;
    private final Map<String, Map<Decision, Long>> decisions = new HashMap<>();
    private final List<Runnable> deferred = new ArrayList<>();
    private final UrgentReports urgentReports;
    private SimulatedLeader leader;
    private long answeredAt;
    private long nextReportId = 1;
    private long lastReportAt;
    private boolean urgentPlanned;
    private boolean running = true;
    private boolean paused;
    private boolean partitioned;
    private long routesRevision;
    private long reports;
    private long bytesSent;
    private long bytesReceived;

    SimulatedProxy(QuotaSimulation simulation, String name, long incarnation, SimulatedClock c) {
        this.simulation = simulation;
        this.name = name;
        this.incarnation = incarnation;
        this.clock = c;
        this.account = new QuotaAccount(simulation.settings(), this);
        this.urgentReports = new UrgentReports(simulation.time());
        this.answeredAt = simulation.time() - LEADER_TIMEOUT;
        simulation.after(simulation.random().nextLong(REPORT_INTERVAL), this::reportRegularly);
    }

    String name() {
        return name;
    }

    boolean running() {
        return running;
    }

    void kill() {
        running = false;
    }

    void setPartitioned(boolean value) {
        partitioned = value;
    }

    boolean partitioned() {
        return partitioned;
    }

    /**
     * Stops the process for a time, after which it continues with what was due.
     *
     * @param suspended whether the whole machine stops, and with it the monotonic clock
     */
    void pause(long nanos, boolean suspended) {
        if (paused || !running) {
            return;
        }
        paused = true;
        simulation.after(
                nanos,
                () -> {
                    paused = false;
                    if (suspended) {
                        clock.addSuspension(nanos);
                    }
                    List<Runnable> due = List.copyOf(deferred);
                    deferred.clear();
                    due.forEach(Runnable::run);
                });
    }

    private void run(Runnable task) {
        if (running && paused) {
            deferred.add(task);
        } else if (running) {
            task.run();
        }
    }

    void setWorkspaces(Option<List<Workspace>> workspaces, long revision) {
        run(
                () -> {
                    if (revision > routesRevision) {
                        routesRevision = revision;
                        account.setWorkspaces(workspaces, revision);
                    }
                });
    }

    long routesRevision() {
        return routesRevision;
    }

    /** Requests an operation that may wait for some time; a proxy without routes serves none. */
    void request(String workspace, long waitNanos) {
        if (routesRevision == 0) {
            return;
        }
        run(
                () ->
                        account.request(
                                new OperationGate.Operation(workspace, "s", now() + waitNanos),
                                new OperationGate.Listener() {
                                    @Override
                                    public void permitted() {
                                        simulation.checker().record(workspace, simulation.time());
                                    }

                                    @Override
                                    public void refused(String reason, int retryAfterMillis) {
                                        simulation.refused(workspace, retryAfterMillis);
                                    }
                                }));
    }

    private void reportRegularly() {
        run(
                () -> {
                    if (simulation.time() - lastReportAt >= REPORT_INTERVAL) {
                        report();
                    }
                });
        if (running) {
            simulation.after(REPORT_INTERVAL / 10, this::reportRegularly);
        }
    }

    private void report() {
        lastReportAt = simulation.time();
        long id = nextReportId++;
        if (!account.active()) {
            return;
        }
        NodeReportMessage.Builder builder =
                NodeReportMessage.newBuilder().setProxy(name).setIncarnation(incarnation).setId(id);
        int before = builder.build().getSerializedSize();
        QuotaCodec.encode(account.report(id), builder);
        byte[] message = builder.build().toByteArray();
        reports++;
        bytesSent += message.length - before;
        if (simulation.time() - answeredAt >= LEADER_TIMEOUT) {
            leader = null;
        }
        List<SimulatedLeader> targets =
                leader == null ? simulation.believedLeaders() : List.of(leader);
        targets.forEach(target -> simulation.sendReport(this, target, message));
    }

    void receive(SimulatedLeader from, byte[] message) {
        run(
                () -> {
                    leader = from;
                    answeredAt = simulation.time();
                    bytesReceived += message.length;
                    DirectoryUpdateMessage update = simulation.parseUpdate(message);
                    account.apply(QuotaCodec.decode(update));
                });
    }

    @Override
    public long now() {
        return clock.read(simulation.time());
    }

    @Override
    public long clockOffsetMillis() {
        return clock.offsetMillis(simulation.time());
    }

    @Override
    public void schedule(long deadline, Runnable task) {
        simulation.after(Math.max(0, deadline - now()), () -> run(task));
    }

    @Override
    public void reportNeeded() {
        if (!urgentPlanned) {
            urgentPlanned = true;
            simulation.after(
                    urgentReports.reserve(simulation.time()),
                    () ->
                            run(
                                    () -> {
                                        urgentPlanned = false;
                                        report();
                                    }));
        }
    }

    @Override
    public void decided(String workspace, Decision decision) {
        decisions
                .computeIfAbsent(workspace, w -> new EnumMap<>(Decision.class))
                .merge(decision, 1L, Long::sum);
    }

    long decisions(String workspace, Decision decision) {
        return decisions.getOrDefault(workspace, Map.of()).getOrDefault(decision, 0L);
    }

    long reports() {
        return reports;
    }

    long bytesSent() {
        return bytesSent;
    }

    long bytesReceived() {
        return bytesReceived;
    }
}
