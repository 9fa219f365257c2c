package org.ragwortmoor.coordination.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.DirectoryCommand;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.directory.FleetSize;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerState;
import org.ragwortmoor.state.routes.GroupLimits;
import org.ragwortmoor.state.routes.RouteTable;

/**
 * Plays leaders that fail, freeze with an order in hand and return, and calls that are slow or not
 * answered, and checks what a platform that does not check fencing tokens gets to see: tokens never
 * decrease, and no two leaders use the same one.
 */
class PromotionTokenTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final int RUNS_PER_BLOCK = 100;
    private static final int STEPS = 1_500;
    private static final long STEP_MILLIS = 20;
    private static final int LEADERS = 3;

    /** Time after which a call without an answer is reset, so that it cannot arrive any more. */
    private static final int CALL_TIMEOUT_MILLIS = 500;

    private static final class Simulation {
        private final SplittableRandom random;
        private final PriorityQueue<Task> tasks = new PriorityQueue<>();
        private final List<FailoverCoordinator> coordinators = new ArrayList<>();
        private final List<PrimaryLeaseTable> leases = new ArrayList<>();
        private final long[] frozenUntil = new long[LEADERS];
        private final Map<Long, Integer> holders = new HashMap<>();
        private final List<String> violations = new ArrayList<>();
        private DirectoryState state = DirectoryState.EMPTY;
        private long index;
        private long order;
        private long now = 1_000 * MILLI;
        private int leader;
        private int elections;
        private long highestToken;
        private int received;

        private record Task(long at, long order, Runnable run) implements Comparable<Task> {
            @Override
            public int compareTo(Task other) {
                return at != other.at
                        ? Long.compare(at, other.at)
                        : Long.compare(order, other.order);
            }
        }

        Simulation(long seed) {
            random = new SplittableRandom(seed);
            apply(
                    new DirectoryCommand.PutRoutes(
                            new RouteTable(
                                    1, List.of(), List.of(new GroupLimits("g", 16, 0)), 0, "")));
            for (int i = 1; i <= 3; i++) {
                apply(
                        new DirectoryCommand.PutServer(
                                new ServerRecord(
                                        "s" + i,
                                        1,
                                        "g",
                                        "10.0.0.1:" + i,
                                        "a",
                                        2,
                                        ServerState.READY,
                                        i == 1,
                                        0)));
            }
            apply(new DirectoryCommand.SetFleetSize(new FleetSize(3, 3)));
            for (int i = 0; i < LEADERS; i++) {
                leases.add(new PrimaryLeaseTable(1_000));
                coordinators.add(new FailoverCoordinator(leases.get(i)));
            }
            elect(0);
        }

        private void apply(DirectoryCommand command) {
            state = state.apply(command, ++index);
        }

        private void after(long millis, Runnable run) {
            tasks.add(new Task(now + millis * MILLI, order++, run));
        }

        private void elect(int next) {
            leader = next;
            elections++;
            coordinators.get(next).reset(now);
        }

        /** Returns whether a process runs and knows that it leads. */
        private boolean leads(int process) {
            return process == leader && now - frozenUntil[process] >= 0;
        }

        void run() {
            for (int step = 0; step < STEPS; step++) {
                now += STEP_MILLIS * MILLI;
                while (!tasks.isEmpty() && tasks.peek().at() <= now) {
                    tasks.poll().run().run();
                }
                changeLeader(random.nextInt(200));
                if (leads(leader)) {
                    work();
                }
            }
        }

        private void changeLeader(int kind) {
            int next = (leader + 1 + random.nextInt(LEADERS - 1)) % LEADERS;
            if (kind == 0) {
                elect(next);
            } else if (kind == 1) {
                // The leader freezes; another one is elected before it returns.
                frozenUntil[leader] = now + random.nextInt(600, 4_000) * MILLI;
                after(random.nextInt(350, 600), () -> elect(next));
            }
        }

        private void work() {
            FailoverCoordinator coordinator = coordinators.get(leader);
            boolean lost = random.nextInt(3) > 0;
            String primary = state.primary("g").map(ServerRecord::id).getOrElse("");
            for (int proxy = 0; proxy < 3; proxy++) {
                coordinator.recordObservation(
                        "p" + proxy, "g", primary, lost ? 700 * MILLI : 0, false, now);
            }
            perform(leader, coordinator.tick(state, now));
        }

        private void perform(int process, List<FailoverAction> actions) {
            for (FailoverAction action : actions) {
                if (action instanceof FailoverAction.Survey survey) {
                    ServerRecord server = survey.server();
                    after(
                            random.nextInt(5, 60),
                            () ->
                                    coordinators
                                            .get(process)
                                            .recordStatus(
                                                    server,
                                                    new ServerStatus(
                                                            false,
                                                            1,
                                                            new Position(1, random.nextInt(100)),
                                                            0),
                                                    now));
                } else if (action instanceof FailoverAction.OrderPromotion ordered) {
                    after(random.nextInt(5, 40), () -> commit(process, ordered));
                } else if (action instanceof FailoverAction.CallPromotion call) {
                    int term = elections;
                    after(random.nextInt(1, 30), () -> send(process, term, call));
                } else if (action instanceof FailoverAction.ConfirmPromotion confirmation
                        && leads(process)) {
                    apply(new DirectoryCommand.ConfirmPromotion("g", confirmation.token()));
                }
            }
        }

        private void commit(int process, FailoverAction.OrderPromotion ordered) {
            if (process != leader) {
                return;
            }
            apply(new DirectoryCommand.OrderPromotion("g", ordered.server(), "c" + process));
            long token = index;
            if (leads(process)) {
                perform(
                        process,
                        coordinators
                                .get(process)
                                .orderCommitted("g", ordered.server(), token, now));
            }
        }

        /**
         * Sends a call, unless the process has lost the lead while it connected or was frozen, even
         * if it leads again.
         */
        private void send(int process, int term, FailoverAction.CallPromotion call) {
            if (now - frozenUntil[process] < 0) {
                tasks.add(new Task(frozenUntil[process], order++, () -> send(process, term, call)));
                return;
            }
            if (!leads(process) || term != elections) {
                return;
            }
            int delay = random.nextInt(1, CALL_TIMEOUT_MILLIS);
            after(delay, () -> receive(process, call.token()));
            boolean answered = random.nextInt(3) > 0;
            after(
                    answered ? delay : CALL_TIMEOUT_MILLIS,
                    () -> {
                        CallOutcome outcome =
                                !answered
                                        ? CallOutcome.UNKNOWN
                                        : random.nextInt(4) == 0
                                                ? CallOutcome.REJECTED
                                                : CallOutcome.ACCEPTED;
                        perform(
                                process,
                                coordinators
                                        .get(process)
                                        .recordCallOutcome("g", call.token(), outcome, now));
                    });
        }

        private void receive(int process, long token) {
            received++;
            if (token < highestToken) {
                violations.add("token " + token + " after " + highestToken);
            }
            highestToken = Math.max(highestToken, token);
            Integer holder = holders.putIfAbsent(token, process);
            if (holder != null && holder != process) {
                violations.add("token " + token + " of c" + holder + " and c" + process);
            }
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void tokensNeverDecreaseAndHaveOneHolder(long block) {
        int received = 0;
        for (int i = 0; i < RUNS_PER_BLOCK; i++) {
            long seed = block * 1_000 + i;
            Simulation simulation = new Simulation(seed);
            simulation.run();
            assertThat(simulation.violations).as("seed %s", seed).isEmpty();
            received += simulation.received;
        }
        assertThat(received).isGreaterThan(RUNS_PER_BLOCK);
    }
}
