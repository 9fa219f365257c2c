package org.ragwortmoor.coordination.engine;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.ragwortmoor.state.EndpointInfo;
import org.ragwortmoor.state.GroupView;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointAnswer;

/** Simulates endpoints, the network and the control group, and runs engines in virtual time. */
final class FakeGroup {
    static final long MILLI = VirtualTime.MILLI;

    final VirtualTime time = new VirtualTime();
    final List<FakeEndpoint> endpoints = new ArrayList<>();
    final List<Proxy> proxies = new ArrayList<>();
    final Random random;

    /** Endpoints that can neither receive nor send messages. */
    final Set<String> unreachable = new HashSet<>();

    /** Endpoints reachable by proxies, but not by the other endpoints and the control group. */
    final Set<String> isolated = new HashSet<>();

    /** Replicas that have stopped replicating. */
    final Set<String> stalled = new HashSet<>();

    /** Probability that an answer is delivered a second time, late. */
    double lateAnswerProbability;

    /**
     * Probability that an answer is also delivered for another exchange and on another connection.
     */
    double crossedAnswerProbability;

    final long replicationIntervalNanos;
    private final int connectionLimit;

    /** Maximum delay until a proxy receives the view of a new term. */
    long maxViewDelayNanos = 20 * MILLI;

    /** Identifier of the most recent request. */
    long lastRequest;

    private long term;
    private FakeEndpoint primary;

    FakeGroup(int size, int slots, int connectionLimit, long replicationIntervalNanos, long seed) {
        this.random = new Random(seed);
        this.replicationIntervalNanos = replicationIntervalNanos;
        this.connectionLimit = connectionLimit;
        for (int i = 0; i < size; i++) {
            endpoints.add(new FakeEndpoint("e" + i, slots, time));
        }
        promote(endpoints.get(0));
        replicate();
    }

    /** A proxy: an engine and its host. */
    final class Proxy {
        final GroupEngine engine;
        private final Map<Long, Consumer<CallerAnswer>> callers = new HashMap<>();
        private final Map<Long, FakeEndpoint> openLinks = new HashMap<>();
        private final Set<Long> silentConnections = new HashSet<>();

        /** Endpoint by connection, for connections that are open or being opened. */
        private final Map<Long, String> requestedConnections = new HashMap<>();

        private final int number = proxies.size();
        private long wakeAt = Long.MAX_VALUE;
        boolean dead;

        /** Called for every call that the engine sends. */
        Consumer<EngineAction.Send> observer = send -> {};

        /** Whether this proxy receives views of new terms. */
        boolean receivesViews = true;

        private int share = 1;
        private final Map<String, Integer> longPermitsByEndpoint = new HashMap<>();

        Proxy(EngineSettings settings, int share, int longPermits) {
            engine = new GroupEngine(settings, "p" + number, "g", new Random(random.nextLong()));
            handle(new EngineEvent.GroupChanged(view()));
            lease(share, longPermits);
        }

        private void lease(int connections, int longPermits) {
            share = connections;
            endpoints.forEach(
                    e ->
                            leaseLongPermits(
                                    e, longPermitsByEndpoint.getOrDefault(e.name, longPermits)));
            time.after(1000 * MILLI, () -> lease(connections, longPermits));
        }

        /** Renews the lease with the configured connections and this many long permits. */
        void leaseLongPermits(FakeEndpoint e, int longPermits) {
            longPermitsByEndpoint.put(e.name, longPermits);
            long end = time.now() + 3000 * MILLI;
            handle(new EngineEvent.ShareLeased(e.name, 1, share, longPermits, end));
        }

        void handle(EngineEvent event) {
            if (dead) {
                return;
            }
            engine.handle(event, time.now()).forEach(this::execute);
            long next = engine.nextDeadline();
            if (next < wakeAt) {
                wakeAt = next;
                time.at(next, () -> wake(next));
            }
        }

        private void wake(long at) {
            if (at == wakeAt) {
                wakeAt = Long.MAX_VALUE;
                handle(new EngineEvent.Tick());
            }
        }

        int unanswered() {
            return callers.size();
        }

        void call(CallerRequest request, Consumer<CallerAnswer> answer) {
            callers.put(request.id(), answer);
            handle(new EngineEvent.RequestArrived(request));
        }

        /** Stops the proxy without a shutdown; the endpoints see its connections close. */
        void kill() {
            dead = true;
            openLinks.forEach((id, e) -> time.after(MILLI, () -> e.disconnected(globalId(id))));
        }

        /** Makes one open connection drop all messages from now on. */
        void silence() {
            List<Long> ids = openLinks.keySet().stream().sorted().toList();
            if (!ids.isEmpty()) {
                silentConnections.add(ids.get(random.nextInt(ids.size())));
            }
        }

        private long globalId(long connection) {
            return number * 1_000_000L + connection;
        }

        private void execute(EngineAction action) {
            if (action instanceof EngineAction.Reply reply) {
                Consumer<CallerAnswer> caller = callers.remove(reply.answer().id());
                if (caller == null) {
                    throw new AssertionError("second answer: " + reply.answer());
                }
                caller.accept(reply.answer());
            } else if (action instanceof EngineAction.OpenConnection open) {
                requestedConnections.put(open.connection(), open.endpoint());
                long own =
                        requestedConnections.values().stream()
                                .filter(open.endpoint()::equals)
                                .count();
                if (own > share) {
                    throw new AssertionError(own + " connections, the share is " + share);
                }
                time.after(10 * MILLI, () -> connect(open));
            } else if (action instanceof EngineAction.CloseConnection close) {
                requestedConnections.remove(close.connection());
                FakeEndpoint e = openLinks.remove(close.connection());
                if (e != null) {
                    boolean late =
                            unreachable.contains(e.name)
                                    || silentConnections.contains(close.connection());
                    long delay = late ? 2000 * MILLI : MILLI;
                    time.after(delay, () -> e.disconnected(globalId(close.connection())));
                }
            } else if (action instanceof EngineAction.Send send) {
                observer.accept(send);
                long delay = MILLI + random.nextInt(200_000);
                time.after(delay, () -> deliver(send));
            }
        }

        private void connect(EngineAction.OpenConnection open) {
            FakeEndpoint e = find(open.endpoint());
            if (unreachable.contains(e.name)
                    || !requestedConnections.containsKey(open.connection())) {
                return;
            }
            if (e.down || e.connections.size() >= connectionLimit) {
                requestedConnections.remove(open.connection());
                handle(new EngineEvent.ConnectionFailed(e.name, open.connection(), "refused"));
                return;
            }
            e.connected(globalId(open.connection()));
            openLinks.put(open.connection(), e);
            handle(new EngineEvent.ConnectionOpened(e.name, open.connection()));
        }

        private void deliver(EngineAction.Send send) {
            FakeEndpoint e = openLinks.get(send.connection());
            if (e == null) {
                return;
            }
            if (silentConnections.contains(send.connection()) || unreachable.contains(e.name)) {
                deliverLate(send, e);
                return;
            }
            if (e.down || !e.connections.contains(globalId(send.connection()))) {
                openLinks.remove(send.connection());
                requestedConnections.remove(send.connection());
                handle(new EngineEvent.ConnectionLost(send.connection(), "reset by peer"));
                return;
            }
            e.call(globalId(send.connection()), send.call(), answer -> reply(send, e, answer));
        }

        /** Delivers the call 0.1 to 1.6 s late and drops its answer. */
        private void deliverLate(EngineAction.Send send, FakeEndpoint e) {
            long delay = (100 + random.nextInt(1500)) * MILLI;
            time.after(
                    delay,
                    () -> {
                        if (!e.down && e.connections.contains(globalId(send.connection()))) {
                            e.call(globalId(send.connection()), send.call(), answer -> {});
                        }
                    });
        }

        private void reply(EngineAction.Send send, FakeEndpoint e, EndpointAnswer answer) {
            if (silentConnections.contains(send.connection()) || unreachable.contains(e.name)) {
                return;
            }
            long delay = MILLI + random.nextInt(200_000);
            deliverAnswer(delay, send.connection(), send.exchange(), answer);
            if (random.nextDouble() < lateAnswerProbability) {
                deliverAnswer(delay + 300 * MILLI, send.connection(), send.exchange(), answer);
            }
            if (random.nextDouble() < crossedAnswerProbability) {
                deliverAnswer(delay, send.connection(), send.exchange() + 1_000_000, answer);
                deliverAnswer(delay, send.connection() + 1, send.exchange(), answer);
            }
        }

        private void deliverAnswer(
                long delay, long connection, long exchange, EndpointAnswer answer) {
            time.after(
                    delay,
                    () -> handle(new EngineEvent.AnswerReceived(connection, exchange, answer)));
        }
    }

    Proxy addProxy(EngineSettings settings, int share, int longPermits) {
        Proxy proxy = new Proxy(settings, share, longPermits);
        proxies.add(proxy);
        return proxy;
    }

    FakeEndpoint find(String name) {
        return endpoints.stream().filter(e -> e.name.equals(name)).findFirst().orElseThrow();
    }

    FakeEndpoint primary() {
        return primary;
    }

    GroupView view() {
        List<EndpointInfo> infos =
                endpoints.stream()
                        .map(
                                e ->
                                        new EndpointInfo(
                                                e.name,
                                                1,
                                                "127.0.0.1:" + e.name,
                                                "d",
                                                e.slots,
                                                connectionLimit,
                                                false))
                        .toList();
        return new GroupView("g", endpoints.size(), term, Option.of(primary.name), infos);
    }

    /**
     * Fences the reachable endpoints and promotes the one with the newest log, if they are a
     * majority.
     */
    boolean failOver() {
        List<FakeEndpoint> up = endpoints.stream().filter(this::reachable).toList();
        if (up.size() <= endpoints.size() / 2) {
            return false;
        }
        term++;
        up.forEach(e -> e.fence(term));
        promote(up.stream().max(Comparator.comparing(FakeEndpoint::last)).orElseThrow());
        proxies.forEach(
                p ->
                        time.after(
                                (long) (random.nextDouble() * maxViewDelayNanos),
                                () -> {
                                    if (p.receivesViews) {
                                        p.handle(new EngineEvent.GroupChanged(view()));
                                    }
                                }));
        return true;
    }

    private void promote(FakeEndpoint next) {
        term = Math.max(1, term);
        primary = next;
        next.promote(term);
    }

    boolean reachable(FakeEndpoint e) {
        return !e.down && !unreachable.contains(e.name) && !isolated.contains(e.name);
    }

    private void replicate() {
        for (FakeEndpoint e : endpoints) {
            if (e != primary && reachable(e) && reachable(primary) && !stalled.contains(e.name)) {
                e.fetch(primary, 50);
            }
        }
        time.after(replicationIntervalNanos, this::replicate);
    }

    /** Clears all faults, so that the replicas can catch up. */
    void heal() {
        unreachable.clear();
        isolated.clear();
        stalled.clear();
        endpoints.forEach(e -> e.down = false);
    }

    Position lastPosition() {
        return primary.last();
    }
}
