package org.ragwortmoor.coordination.control;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiPredicate;
import java.util.function.LongSupplier;
import org.ragwortmoor.coordination.control.ControlAction.AnswerOperator;
import org.ragwortmoor.coordination.control.ControlAction.AnswerProxy;
import org.ragwortmoor.coordination.control.ControlAction.CallEndpoint;
import org.ragwortmoor.coordination.control.ControlAction.Propose;

/** Simulates a control leader, endpoints and proxies in virtual time. */
final class ControlFixture {
    static final long MS = 1_000_000L;
    private static final long REPLICATION_MILLIS = 10;

    /** Parses lines "scope GROUP PREFIX" as scopes; a line "error" is invalid. */
    static final RuleFileChecker CHECKER =
            text -> {
                Set<RuleScope> scopes = new TreeSet<>();
                for (String line : text.split("\n")) {
                    String[] words = line.split(" ");
                    if (words[0].equals("error")) {
                        return Either.left(List.of("line is wrong"));
                    }
                    if (words[0].equals("scope")) {
                        scopes.add(new RuleScope(words[1], words[2]));
                    }
                }
                return Either.right(new RuleFileSummary(scopes));
            };

    final Map<EndpointKey, SimulatedEndpoint> endpoints = new LinkedHashMap<>();
    final Map<String, SimulatedProxy> proxies = new LinkedHashMap<>();
    final List<ControlCommand> log = new ArrayList<>();
    final List<OperatorAnswer> answers = new ArrayList<>();
    final List<ControlUpdate> updates = new ArrayList<>();
    final Random random;
    long now;
    long networkDelay = 1 * MS;
    long commitDelay = 2 * MS;
    long leaderTerm;

    /** Delay of the next answer to a proxy in nanoseconds; negative if the answer is lost. */
    LongSupplier answerDelay = () -> networkDelay;

    ControlState state = ControlState.EMPTY;
    ControlCore core;

    /**
     * Tests whether the endpoint (first argument) is reachable from a proxy, an endpoint or
     * "control" (second argument).
     */
    BiPredicate<EndpointKey, String> link = (endpoint, from) -> true;

    private final ControlCore.FailureDetectorType detectorType;
    private final SharePolicy sharePolicy;
    private final PriorityQueue<Event> queue =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
    private long order;
    private long tickAt = Long.MAX_VALUE;

    private record Event(long at, long order, Runnable run) {}

    ControlFixture(long seed) {
        this(seed, ControlCore.FailureDetectorType.REPORTERS, new FairSharePolicy());
    }

    ControlFixture(
            long seed, ControlCore.FailureDetectorType detectorType, SharePolicy sharePolicy) {
        this.random = new Random(seed);
        this.detectorType = detectorType;
        this.sharePolicy = sharePolicy;
        newLeader();
    }

    /** Replaces the leader; its volatile state and its uncommitted proposals are lost. */
    void newLeader() {
        leaderTerm++;
        core = new ControlCore("Colina", state, CHECKER, sharePolicy, detectorType, now);
        feed(new ControlEvent.BecameLeader(leaderTerm));
        feed(new ControlEvent.ReadyChanged(true));
    }

    SimulatedEndpoint endpoint(String group, String name, String domain) {
        SimulatedEndpoint endpoint = new SimulatedEndpoint(group, name, domain);
        endpoints.put(endpoint.key(), endpoint);
        every(500 * MS, random.nextInt(500) * MS, () -> announce(endpoint));
        every(
                REPLICATION_MILLIS * MS,
                random.nextInt((int) REPLICATION_MILLIS) * MS,
                () -> replicate(endpoint));
        return endpoint;
    }

    SimulatedProxy proxy(String name, String domain) {
        SimulatedProxy proxy = new SimulatedProxy(name, domain);
        proxies.put(name, proxy);
        every(250 * MS, random.nextInt(250) * MS, () -> report(proxy));
        every(50 * MS, random.nextInt(50) * MS, () -> ping(proxy));
        return proxy;
    }

    /**
     * Adds three failure domains with one endpoint each, and distributes {@code proxyCount} proxies
     * over them.
     */
    ControlFixture standard(int proxyCount) {
        String[] domains = {"Colina", "Pirque", "Lampa"};
        for (int i = 0; i < 3; i++) {
            endpoint("fleet", "e" + i, domains[i]);
        }
        for (int i = 0; i < proxyCount; i++) {
            proxy("p" + i, domains[i % 3]);
        }
        return this;
    }

    SimulatedEndpoint at(String name) {
        return endpoints.get(new EndpointKey("fleet", name));
    }

    SimulatedEndpoint primary() {
        return at(group().primary().get());
    }

    GroupState group() {
        return state.groups().get("fleet").get();
    }

    void operator(OperatorRequest request) {
        feed(new ControlEvent.OperatorRequested(request));
    }

    OperatorRequest.Operation operation(String id) {
        return new OperatorRequest.Operation(id, "ana", now / MS);
    }

    void run(long millis) {
        long end = now + millis * MS;
        while (true) {
            Event next = queue.peek();
            long at = Math.min(next == null ? Long.MAX_VALUE : next.at(), tickAt);
            if (at > end) {
                now = end;
                return;
            }
            now = Math.max(now, at);
            if (at == tickAt) {
                tickAt = Long.MAX_VALUE;
                feed(new ControlEvent.Tick(now / MS));
            } else {
                queue.poll().run().run();
            }
        }
    }

    void at(long delay, Runnable run) {
        order++;
        queue.add(new Event(now + delay, order, run));
    }

    void every(long interval, long first, Runnable run) {
        at(
                first,
                () -> {
                    run.run();
                    every(interval, interval, run);
                });
    }

    void feed(ControlEvent event) {
        for (ControlAction action : core.handle(event, now)) {
            execute(action);
        }
        tickAt = Math.max(now, core.nextDeadline());
    }

    private void execute(ControlAction action) {
        long term = leaderTerm;
        if (action instanceof Propose propose) {
            at(
                    commitDelay,
                    () -> {
                        if (term == leaderTerm) {
                            commit(propose.command());
                        }
                    });
        } else if (action instanceof CallEndpoint call) {
            at(networkDelay, () -> callEndpoint(call, term));
        } else if (action instanceof AnswerProxy answer) {
            updates.add(answer.update());
            SimulatedProxy proxy = proxies.get(answer.update().proxy());
            long delay = answerDelay.getAsLong();
            if (proxy != null && delay >= 0) {
                at(delay, () -> deliver(proxy, answer.update()));
            }
        } else if (action instanceof AnswerOperator answer) {
            answers.add(answer.answer());
        }
    }

    private static void deliver(SimulatedProxy proxy, ControlUpdate update) {
        if (!proxy.partitioned) {
            proxy.apply(update);
        }
    }

    void commit(ControlCommand command) {
        log.add(command);
        var applied = state.apply(command);
        state = applied._1;
        feed(new ControlEvent.CommandCommitted(command, applied._2, state));
    }

    private void callEndpoint(CallEndpoint call, long term) {
        SimulatedEndpoint endpoint = endpoints.get(new EndpointKey(call.group(), call.endpoint()));
        boolean reached = endpoint.alive && link.test(endpoint.key(), "control");
        ControlEvent event =
                reached
                        ? new ControlEvent.EndpointAnswered(
                                call.call(), endpoint.answer(call.request()))
                        : new ControlEvent.EndpointFailed(call.call(), "no connection");
        at(
                networkDelay,
                () -> {
                    if (term == leaderTerm) {
                        feed(event);
                    }
                });
    }

    private void announce(SimulatedEndpoint endpoint) {
        if (endpoint.alive && link.test(endpoint.key(), "control")) {
            Announcement announcement = endpoint.announcement(3);
            at(networkDelay, () -> feed(new ControlEvent.AnnouncementReceived(announcement)));
        }
    }

    private void replicate(SimulatedEndpoint endpoint) {
        endpoint.sourceSilentMillis += REPLICATION_MILLIS;
        for (SimulatedEndpoint other : endpoints.values()) {
            if (other.group.equals(endpoint.group)
                    && endpoint.alive
                    && other.alive
                    && link.test(other.key(), endpoint.name)) {
                endpoint.fetch(other, 100);
            }
        }
    }

    private void report(SimulatedProxy proxy) {
        if (proxy.alive && !proxy.paused && !proxy.partitioned) {
            ProxyReport report = proxy.report(now);
            at(networkDelay, () -> feed(new ControlEvent.ReportReceived(report)));
        }
    }

    private void ping(SimulatedProxy proxy) {
        for (SimulatedEndpoint endpoint : endpoints.values()) {
            if (endpoint.alive && link.test(endpoint.key(), proxy.name)) {
                proxy.answerReceived(endpoint.key(), now);
            }
        }
    }
}
