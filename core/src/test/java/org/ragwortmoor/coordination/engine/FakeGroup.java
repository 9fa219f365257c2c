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

/** Endpoints, their network and a control group's decisions, driving engines in virtual time. */
final class FakeGroup {
    static final long MILLI = VirtualTime.MILLI;

    final VirtualTime time = new VirtualTime();
    final List<FakeEndpoint> endpoints = new ArrayList<>();
    final List<Proxy> proxies = new ArrayList<>();
    final Random random;

    /** Endpoints that no message reaches or leaves. */
    final Set<String> cut = new HashSet<>();

    /** Endpoints that proxies reach, but neither the other endpoints nor the control group. */
    final Set<String> isolated = new HashSet<>();

    /** Replicas that do not fetch. */
    final Set<String> stalled = new HashSet<>();

    /** Probability that an answer is delivered late and a second time. */
    double lateAnswers;

    /** Probability that an answer also arrives on another connection and for another exchange. */
    double crossedAnswers;

    final long lagNanos;
    private final int connectionLimit;

    /** Longest delay until a proxy learns of a new primary. */
    long viewDelayNanos = 20 * MILLI;

    /** Identifier of the last caller request. */
    long lastRequest;

    private long term;
    private FakeEndpoint primary;

    FakeGroup(int size, int slots, int connectionLimit, long lagNanos, long seed) {
        this.random = new Random(seed);
        this.lagNanos = lagNanos;
        this.connectionLimit = connectionLimit;
        for (int i = 0; i < size; i++) {
            endpoints.add(new FakeEndpoint("e" + i, slots, time));
        }
        promote(endpoints.get(0));
        replicate();
    }

    /** One proxy: an engine and its host. */
    final class Proxy {
        final GroupEngine engine;
        private final Map<Long, Consumer<CallerAnswer>> callers = new HashMap<>();
        private final Map<Long, FakeEndpoint> links = new HashMap<>();
        private final Set<Long> silent = new HashSet<>();

        /** Endpoint of each connection that is open or being opened. */
        private final Map<Long, String> held = new HashMap<>();

        private final int number = proxies.size();
        private long wakeAt = Long.MAX_VALUE;
        boolean dead;

        /** Every statement and status request that the engine sent. */
        Consumer<EngineAction.Send> observer = send -> {};

        /** Whether this proxy learns of new primaries. */
        boolean informed = true;

        private int share = 1;
        private final Map<String, Integer> permits = new HashMap<>();

        Proxy(EngineSettings settings, int share, int longPermits) {
            engine = new GroupEngine(settings, "p" + number, "g", new Random(random.nextLong()));
            handle(new EngineEvent.GroupChanged(view()));
            lease(share, longPermits);
        }

        private void lease(int connections, int longPermits) {
            share = connections;
            endpoints.forEach(e -> permit(e, permits.getOrDefault(e.name, longPermits)));
            time.after(1000 * MILLI, () -> lease(connections, longPermits));
        }

        /** Leases the usual connections and this many long permits. */
        void permit(FakeEndpoint e, int longPermits) {
            permits.put(e.name, longPermits);
            long end = time.now() + 3000 * MILLI;
            handle(new EngineEvent.ShareLeased(e.name, 1, share, longPermits, end));
        }

        void handle(EngineEvent event) {
            if (dead) {
                return;
            }
            engine.handle(event, time.now()).forEach(this::act);
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

        /** Ends the proxy: the endpoints see its connections close. */
        void kill() {
            dead = true;
            links.forEach((id, e) -> time.after(MILLI, () -> e.disconnected(global(id))));
        }

        /** Makes one open connection lose every message from now on. */
        void silence() {
            List<Long> ids = links.keySet().stream().sorted().toList();
            if (!ids.isEmpty()) {
                silent.add(ids.get(random.nextInt(ids.size())));
            }
        }

        private long global(long connection) {
            return number * 1_000_000L + connection;
        }

        private void act(EngineAction action) {
            if (action instanceof EngineAction.Reply reply) {
                Consumer<CallerAnswer> caller = callers.remove(reply.answer().id());
                if (caller == null) {
                    throw new AssertionError("second answer: " + reply.answer());
                }
                caller.accept(reply.answer());
            } else if (action instanceof EngineAction.OpenConnection open) {
                held.put(open.connection(), open.endpoint());
                long own = held.values().stream().filter(open.endpoint()::equals).count();
                if (own > share) {
                    throw new AssertionError(own + " connections, the share is " + share);
                }
                time.after(10 * MILLI, () -> connect(open));
            } else if (action instanceof EngineAction.CloseConnection close) {
                held.remove(close.connection());
                FakeEndpoint e = links.remove(close.connection());
                if (e != null) {
                    boolean late = cut.contains(e.name) || silent.contains(close.connection());
                    long delay = late ? 2000 * MILLI : MILLI;
                    time.after(delay, () -> e.disconnected(global(close.connection())));
                }
            } else if (action instanceof EngineAction.Send send) {
                observer.accept(send);
                long delay = MILLI + random.nextInt(200_000);
                time.after(delay, () -> deliver(send));
            }
        }

        private void connect(EngineAction.OpenConnection open) {
            FakeEndpoint e = find(open.endpoint());
            if (cut.contains(e.name) || !held.containsKey(open.connection())) {
                return;
            }
            if (e.down || e.connections.size() >= connectionLimit) {
                held.remove(open.connection());
                handle(new EngineEvent.ConnectionFailed(e.name, open.connection(), "refused"));
                return;
            }
            e.connected(global(open.connection()));
            links.put(open.connection(), e);
            handle(new EngineEvent.ConnectionOpened(e.name, open.connection()));
        }

        private void deliver(EngineAction.Send send) {
            FakeEndpoint e = links.get(send.connection());
            if (e == null) {
                return;
            }
            if (silent.contains(send.connection()) || cut.contains(e.name)) {
                deliverLate(send, e);
                return;
            }
            if (e.down || !e.connections.contains(global(send.connection()))) {
                links.remove(send.connection());
                held.remove(send.connection());
                handle(new EngineEvent.ConnectionLost(send.connection(), "reset by peer"));
                return;
            }
            e.call(global(send.connection()), send.call(), answer -> reply(send, e, answer));
        }

        /** The call arrives long after its caller gave up, and its answer is lost. */
        private void deliverLate(EngineAction.Send send, FakeEndpoint e) {
            long delay = (100 + random.nextInt(1500)) * MILLI;
            time.after(
                    delay,
                    () -> {
                        if (!e.down && e.connections.contains(global(send.connection()))) {
                            e.call(global(send.connection()), send.call(), answer -> {});
                        }
                    });
        }

        private void reply(EngineAction.Send send, FakeEndpoint e, EndpointAnswer answer) {
            if (silent.contains(send.connection()) || cut.contains(e.name)) {
                return;
            }
            long delay = MILLI + random.nextInt(200_000);
            arrive(delay, send.connection(), send.exchange(), answer);
            if (random.nextDouble() < lateAnswers) {
                arrive(delay + 300 * MILLI, send.connection(), send.exchange(), answer);
            }
            if (random.nextDouble() < crossedAnswers) {
                arrive(delay, send.connection(), send.exchange() + 1_000_000, answer);
                arrive(delay, send.connection() + 1, send.exchange(), answer);
            }
        }

        private void arrive(long delay, long connection, long exchange, EndpointAnswer answer) {
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

    /** Fences a majority and promotes the endpoint with the newest log, if a majority answers. */
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
                                (long) (random.nextDouble() * viewDelayNanos),
                                () -> {
                                    if (p.informed) {
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
        return !e.down && !cut.contains(e.name) && !isolated.contains(e.name);
    }

    private void replicate() {
        for (FakeEndpoint e : endpoints) {
            if (e != primary && reachable(e) && reachable(primary) && !stalled.contains(e.name)) {
                e.fetch(primary, 50);
            }
        }
        time.after(lagNanos, this::replicate);
    }

    /** Repairs every fault and lets the replicas catch up. */
    void heal() {
        cut.clear();
        isolated.clear();
        stalled.clear();
        endpoints.forEach(e -> e.down = false);
    }

    Position head() {
        return primary.last();
    }
}
