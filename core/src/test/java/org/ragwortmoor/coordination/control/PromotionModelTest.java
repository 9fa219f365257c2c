package org.ragwortmoor.coordination.control;

import static org.assertj.core.api.Assertions.assertThat;
import static org.ragwortmoor.coordination.control.ControlFixture.MS;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.ragwortmoor.coordination.control.ControlAction.CallEndpoint;
import org.ragwortmoor.coordination.control.ControlAction.Propose;
import org.ragwortmoor.coordination.control.ProxyReport.EndpointObservation;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.endpoint.EndpointCall;

/**
 * Tests that no acknowledged write is lost under reordered messages, lost calls, crashes of the
 * leader between any two steps, restarts of endpoints and the loss of the data of one endpoint at a
 * time.
 */
class PromotionModelTest {
    private static final int STEPS = 1_500;

    /**
     * One simulation; the random generator decides whether a message is delivered, delayed or lost.
     */
    private static final class Model {
        private final Random random;
        private final Map<String, SimulatedEndpoint> endpoints = new LinkedHashMap<>();
        private final List<Runnable> messages = new ArrayList<>();
        private final Set<Position> acknowledged = new HashSet<>();
        private final Map<Long, String> primaryOfTerm = new HashMap<>();
        private final Map<String, Long> silentSince = new HashMap<>();
        private ControlState state = ControlState.EMPTY;
        private ControlCore core;
        private long leaderTerm;
        private long now;
        private long sequence;
        private int promotions;

        Model(long seed) {
            random = new Random(seed);
            for (String name : List.of("a", "b", "c")) {
                endpoints.put(name, new SimulatedEndpoint("g", name, "domain-" + name));
            }
            newLeader();
        }

        private void newLeader() {
            leaderTerm++;
            core = new ControlCore("domain-a", state, ControlFixture.CHECKER, now);
            feed(new ControlEvent.BecameLeader(leaderTerm));
            feed(new ControlEvent.ReadyChanged(true));
        }

        private void feed(ControlEvent event) {
            long leader = leaderTerm;
            for (ControlAction action : core.handle(event, now)) {
                if (action instanceof Propose propose) {
                    messages.add(
                            () -> {
                                if (leader == leaderTerm || random.nextBoolean()) {
                                    commit(propose.command());
                                }
                            });
                } else if (action instanceof CallEndpoint call) {
                    checkCall(call);
                    messages.add(() -> deliver(call, leader));
                }
            }
        }

        /**
         * Checks that calls concern committed decisions only: no endpoint may learn of a primary
         * before.
         */
        private void checkCall(CallEndpoint call) {
            GroupState group = state.groups().get("g").get();
            if (call.request() instanceof EndpointCall.Promote promote) {
                assertThat(group.term()).isEqualTo(promote.term());
                assertThat(group.primary()).contains(call.endpoint());
            } else if (call.request() instanceof EndpointCall.Follow follow) {
                assertThat(group.term()).isEqualTo(follow.term());
            } else if (call.request() instanceof EndpointCall.Fence fence) {
                assertThat(group.begunTerm()).isEqualTo(fence.term());
            }
        }

        private void commit(ControlCommand command) {
            var applied = state.apply(command);
            state = applied._1;
            if (command instanceof ControlCommand.CompletePromotion c && applied._2.changed()) {
                assertThat(primaryOfTerm.put(c.term(), c.primary())).isNull();
                promotions++;
            }
            feed(new ControlEvent.CommandCommitted(command, applied._2, state));
        }

        /** Delivers a call. Calls of a replaced leader still arrive, but their answers are lost. */
        private void deliver(CallEndpoint call, long leader) {
            SimulatedEndpoint endpoint = endpoints.get(call.endpoint());
            boolean lost = !endpoint.alive || random.nextInt(20) == 0;
            ControlEvent event =
                    lost
                            ? new ControlEvent.EndpointFailed(call.call(), "lost")
                            : new ControlEvent.EndpointAnswered(
                                    call.call(), endpoint.answer(call.request()));
            if (leader == leaderTerm) {
                messages.add(
                        () -> {
                            if (leader == leaderTerm) {
                                feed(event);
                            }
                        });
            }
            checkPrimaries();
        }

        private void checkPrimaries() {
            Map<Long, String> primaries = new HashMap<>();
            for (SimulatedEndpoint endpoint : endpoints.values()) {
                for (long term : endpoint.promoted) {
                    assertThat(primaries.put(term, endpoint.name)).isNull();
                    assertThat(primaryOfTerm.get(term)).isEqualTo(endpoint.name);
                }
                if (endpoint.primary && endpoint.promised == state.groups().get("g").get().term()) {
                    EndpointStatus status = endpoint.status();
                    assertThat(acknowledged).allMatch(status::contains);
                }
            }
        }

        private void write() {
            for (SimulatedEndpoint endpoint : endpoints.values()) {
                if (endpoint.alive && endpoint.primary) {
                    endpoint.log.add(endpoint.promised);
                }
            }
        }

        private void replicate() {
            for (SimulatedEndpoint from : endpoints.values()) {
                for (SimulatedEndpoint to : endpoints.values()) {
                    if (from.alive && to.alive && random.nextBoolean()) {
                        to.fetch(from, 1 + random.nextInt(3));
                    }
                }
            }
        }

        /**
         * Acknowledges the positions that are held by a majority including the primary, as proxies
         * do.
         */
        private void acknowledge() {
            for (SimulatedEndpoint primary : endpoints.values()) {
                if (!primary.alive || !primary.primary || random.nextBoolean()) {
                    continue;
                }
                for (SimulatedEndpoint other : endpoints.values()) {
                    Position position = other.last();
                    if (other != primary
                            && other.alive
                            && other.status().holds(position, primary.promised)
                            && primary.status().holds(position, primary.promised)) {
                        acknowledged.add(position);
                    }
                }
            }
        }

        /**
         * Clears the data of an endpoint, but only while all endpoints are registered members and
         * another one holds all acknowledged writes.
         */
        private void loseData(SimulatedEndpoint victim) {
            GroupState group = state.groups().get("g").getOrNull();
            if (group == null || group.promoting() || group.endpoints().size() < 3) {
                return;
            }
            for (SimulatedEndpoint endpoint : endpoints.values()) {
                long counted = group.endpoints().get(endpoint.name).get().info().incarnation();
                if (counted != endpoint.incarnation) {
                    return;
                }
            }
            for (SimulatedEndpoint endpoint : endpoints.values()) {
                if (endpoint != victim && endpoint.alive) {
                    EndpointStatus status = endpoint.status();
                    if (acknowledged.stream().allMatch(status::contains)) {
                        victim.loseData();
                        return;
                    }
                }
            }
        }

        private void report(String proxy, String domain) {
            sequence++;
            List<EndpointObservation> observations = new ArrayList<>();
            for (SimulatedEndpoint endpoint : endpoints.values()) {
                long since = silentSince.getOrDefault(endpoint.name, now);
                long silent = endpoint.alive ? 0 : (now - since) / MS;
                observations.add(
                        new EndpointObservation("g", endpoint.name, silent, 0, 1, 0, 0, 0));
            }
            ProxyReport report =
                    new ProxyReport(proxy, 1, domain, sequence, 0, 0, false, now, observations);
            feed(new ControlEvent.ReportReceived(report));
        }

        private void injectFault() {
            SimulatedEndpoint endpoint =
                    endpoints.get(List.of("a", "b", "c").get(random.nextInt(3)));
            switch (random.nextInt(8)) {
                case 0, 1 -> newLeader();
                case 2, 3 -> {
                    endpoint.alive = false;
                    silentSince.putIfAbsent(endpoint.name, now);
                }
                case 4 -> loseData(endpoint);
                case 5 -> endpoint.leaving = !endpoint.leaving;
                default -> {
                    endpoint.alive = true;
                    silentSince.remove(endpoint.name);
                }
            }
        }

        private void step() {
            now += (5 + random.nextInt(60)) * MS;
            if (random.nextInt(25) == 0) {
                injectFault();
            }
            if (random.nextInt(4) == 0) {
                report("p0", "domain-b");
                report("p1", "domain-c");
            }
            for (SimulatedEndpoint endpoint : endpoints.values()) {
                if (endpoint.alive && random.nextInt(5) == 0) {
                    feed(new ControlEvent.AnnouncementReceived(endpoint.announcement(3)));
                }
            }
            feed(new ControlEvent.Tick(0));
            for (int i = random.nextInt(8); i > 0 && !messages.isEmpty(); i--) {
                messages.remove(random.nextInt(messages.size())).run();
                if (random.nextInt(60) == 0) {
                    newLeader();
                }
            }
            write();
            replicate();
            acknowledge();
        }

        void run() {
            for (int i = 0; i < STEPS; i++) {
                step();
            }
            for (SimulatedEndpoint endpoint : endpoints.values()) {
                endpoint.alive = true;
                endpoint.leaving = false;
            }
            silentSince.clear();
            for (int i = 0; i < 800; i++) {
                now += 50 * MS;
                report("p0", "domain-b");
                report("p1", "domain-c");
                endpoints
                        .values()
                        .forEach(
                                e ->
                                        feed(
                                                new ControlEvent.AnnouncementReceived(
                                                        e.announcement(3))));
                feed(new ControlEvent.Tick(0));
                while (!messages.isEmpty()) {
                    messages.remove(0).run();
                }
                endpoints.values().forEach(to -> endpoints.values().forEach(e -> to.fetch(e, 99)));
            }
        }
    }

    @Property(tries = 150, seed = "17")
    void acknowledgedWritesSurviveAndEachTermHasOnePrimary(
            @ForAll @LongRange(min = 0, max = 1_000_000) long seed) {
        Model model = new Model(seed);
        model.run();
        GroupState group = model.state.groups().get("g").get();
        assertThat(group.promoting()).isFalse();
        SimulatedEndpoint primary = model.endpoints.get(group.primary().get());
        assertThat(primary.primary).isTrue();
        assertThat(model.acknowledged).isNotEmpty().allMatch(primary.status()::contains);
        assertThat(model.endpoints.values()).allMatch(e -> e.last().equals(primary.last()));
        assertThat(model.promotions).isPositive();
    }
}
