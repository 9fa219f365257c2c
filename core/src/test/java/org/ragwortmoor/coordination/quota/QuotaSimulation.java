package org.ragwortmoor.coordination.quota;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.protocol.QuotaCodec;
import org.ragwortmoor.protocol.wire.DirectoryUpdateMessage;
import org.ragwortmoor.protocol.wire.NodeReportMessage;
import org.ragwortmoor.state.workspace.Workspace;

/** Proxies, leaders and a network in virtual time. */
final class QuotaSimulation {
    private static final double PROXY_CLOCK_ERROR = 0.01;
    private static final double LEADER_CLOCK_ERROR = 0.005;

    private final Random random;
    private final QuotaSettings settings;
    private final Faults faults;
    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::at).thenComparingLong(Task::order));
    private final List<SimulatedProxy> proxies = new ArrayList<>();
    private final List<SimulatedLeader> leaders = new ArrayList<>();
    private final Map<Object, ReplyPath> replyPaths = new HashMap<>();
    private final WindowChecker checker;
    private Option<List<Workspace>> workspaces = Option.none();
    private long routesRevision;
    private int recordedProxies;
    private long term;
    private long nextIncarnation = 1;
    private long time;
    private long order;
    private long refusals;

    /**
     * Faults of the network.
     *
     * @param loss fraction of lost messages
     * @param repetition fraction of messages that arrive twice
     * @param maxDelayNanos maximum delay; messages may overtake each other
     */
    record Faults(double loss, double repetition, long maxDelayNanos) {}

    private record Task(long at, long order, Runnable action) {}

    private record ReplyKey(SimulatedLeader leader, String proxy, long incarnation) {}

    /** Carries answers back to the process that sent a report. */
    interface ReplyPath {
        void send(byte[] message);
    }

    QuotaSimulation(long seed, QuotaSettings settings, Faults faults) {
        this.random = new Random(seed);
        this.settings = settings;
        this.faults = faults;
        this.checker = new WindowChecker(settings.windowNanos());
    }

    long time() {
        return time;
    }

    Random random() {
        return random;
    }

    QuotaSettings settings() {
        return settings;
    }

    WindowChecker checker() {
        return checker;
    }

    Option<List<Workspace>> workspaces() {
        return workspaces;
    }

    long routesRevision() {
        return routesRevision;
    }

    int recordedProxies() {
        return recordedProxies;
    }

    void recordProxies(int number) {
        recordedProxies = number;
    }

    long refusals() {
        return refusals;
    }

    void refused(String workspace, int retryAfterMillis) {
        if (retryAfterMillis <= 0) {
            throw new AssertionError("refusal without a delay: " + workspace);
        }
        refusals++;
    }

    void after(long nanos, Runnable action) {
        tasks.add(new Task(time + nanos, order++, action));
    }

    void runUntil(long end) {
        while (!tasks.isEmpty() && tasks.peek().at() <= end) {
            Task task = tasks.poll();
            time = task.at();
            task.action().run();
        }
        time = end;
    }

    long delay() {
        return 500_000 + random.nextLong(faults.maxDelayNanos());
    }

    private void deliver(Runnable arrival) {
        int copies = random.nextDouble() < faults.repetition() ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (random.nextDouble() >= faults.loss()) {
                after(delay(), arrival);
            }
        }
    }

    SimulatedProxy addProxy(String name) {
        SimulatedClock clock = clock(PROXY_CLOCK_ERROR);
        SimulatedProxy proxy = new SimulatedProxy(this, name, nextIncarnation++, clock);
        proxies.add(proxy);
        distribute(proxy);
        return proxy;
    }

    private SimulatedClock clock(double error) {
        double rate = 1 + error * (2 * random.nextDouble() - 1);
        return new SimulatedClock(rate, random.nextLong(Long.MAX_VALUE / 2));
    }

    List<SimulatedProxy> proxies() {
        return proxies.stream().filter(SimulatedProxy::running).toList();
    }

    /** Elects a new leader; the old one does not learn of it. */
    SimulatedLeader elect() {
        leaders.forEach(SimulatedLeader::depose);
        SimulatedLeader leader = new SimulatedLeader(this, ++term, clock(LEADER_CLOCK_ERROR));
        leaders.add(leader);
        return leader;
    }

    void stopDeposed() {
        leaders.subList(0, leaders.size() - 1).forEach(SimulatedLeader::stop);
        leaders.subList(0, leaders.size() - 1).clear();
    }

    /** Returns all processes that believe that they lead. */
    List<SimulatedLeader> believedLeaders() {
        return List.copyOf(leaders);
    }

    SimulatedLeader leader() {
        return leaders.get(leaders.size() - 1);
    }

    /** Changes the workspaces; the proxies learn of it one after the other. */
    void setWorkspaces(List<Workspace> changed) {
        workspaces = Option.some(changed);
        routesRevision++;
        proxies.forEach(this::distribute);
    }

    private void distribute(SimulatedProxy proxy) {
        Option<List<Workspace>> current = workspaces;
        long revision = routesRevision;
        after(delay(), () -> proxy.setWorkspaces(current, revision));
    }

    void sendReport(SimulatedProxy proxy, SimulatedLeader leader, byte[] message) {
        if (!proxy.partitioned()) {
            deliver(() -> leader.receive(message, answer -> reply(proxy, leader, answer)));
        }
    }

    private void reply(SimulatedProxy proxy, SimulatedLeader leader, byte[] answer) {
        if (!proxy.partitioned()) {
            deliver(() -> proxy.receive(leader, answer));
        }
    }

    void setReplyPath(SimulatedLeader leader, String proxy, long incarnation, ReplyPath path) {
        replyPaths.put(new ReplyKey(leader, proxy, incarnation), path);
    }

    void answer(SimulatedLeader leader, QuotaLedger.Answer answer) {
        QuotaLedger.Process to = answer.process();
        replyPaths
                .get(new ReplyKey(leader, to.proxy(), to.incarnation()))
                .send(QuotaCodec.encode(answer.answer()).build().toByteArray());
    }

    NodeReportMessage parseReport(byte[] message) {
        try {
            return NodeReportMessage.parseFrom(message);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }

    DirectoryUpdateMessage parseUpdate(byte[] message) {
        try {
            return DirectoryUpdateMessage.parseFrom(message);
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Requests operations of a workspace at random proxies, at a changing rate. */
    void addDemand(String workspace, Demand demand, long waitNanos) {
        double perSecond = Math.max(1e-3, demand.perSecond(time));
        long gap =
                (long)
                        (-Math.log(1 - random.nextDouble())
                                * TimeUnit.SECONDS.toNanos(1)
                                / perSecond);
        after(
                Math.min(gap, TimeUnit.MINUTES.toNanos(1)),
                () -> {
                    List<SimulatedProxy> running = proxies();
                    if (!running.isEmpty() && demand.perSecond(time) > 0) {
                        SimulatedProxy proxy = running.get(random.nextInt(running.size()));
                        proxy.request(workspace, waitNanos);
                    }
                    addDemand(workspace, demand, waitNanos);
                });
    }

    /** Operations per second of a workspace at a time. */
    interface Demand {
        double perSecond(long time);
    }

    static long seconds(double seconds) {
        return (long) (seconds * TimeUnit.SECONDS.toNanos(1));
    }
}
