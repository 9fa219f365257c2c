package org.ragwortmoor.coordination.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import org.ragwortmoor.protocol.ConsensusCodec;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.log.DurableLog;
import org.ragwortmoor.state.log.LogEntry;
import org.ragwortmoor.state.log.LogSettings;
import org.ragwortmoor.state.log.MemberId;
import org.ragwortmoor.state.log.MemoryStorage;

/** A consensus group in virtual time with a simulated network; checks safety while it runs. */
final class VirtualGroup {
    static final long NANOS_PER_MS = 1_000_000;

    final SplittableRandom random;
    final Map<String, ControlProcess> processes = new LinkedHashMap<>();
    private final PriorityQueue<Delivery> network =
            new PriorityQueue<>(
                    (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.seq, b.seq));
    private final Set<String> blockedLinks = new HashSet<>();
    private final Map<Long, MemberId> leadersByTerm = new HashMap<>();
    final TreeMap<Long, String> committed = new TreeMap<>();
    private final ConsensusSettings settings;
    private long nextSequence;
    private long lastIncarnation;
    long now = 1000 * NANOS_PER_MS;
    double lossProbability;
    double duplicationProbability;
    long maxDelayNanos = 2 * NANOS_PER_MS;

    private record Delivery(long at, long seq, String from, String to, ByteString bytes) {}

    VirtualGroup(long seed, int size, ConsensusSettings base) {
        random = new SplittableRandom(seed);
        Map<String, String> members = new LinkedHashMap<>();
        for (int i = 0; i < size; i++) {
            members.put("n" + i, "127.0.0." + (i + 1) + ":1");
        }
        settings =
                ConsensusSettings.defaults(members)
                        .withSnapshotEntries(base.snapshotEntries())
                        .withMessageBytes(base.batchBytes(), base.chunkBytes());
        members.keySet().forEach(id -> processes.put(id, new ControlProcess(id)));
        processes.values().forEach(ControlProcess::start);
    }

    static VirtualGroup of(long seed, int size) {
        return new VirtualGroup(seed, size, ConsensusSettings.defaults(Map.of("x", "x")));
    }

    /** One control process with its disk. */
    final class ControlProcess implements StateMachine {
        final String id;
        MemoryStorage storage = new MemoryStorage();
        ReplicatedLog log;
        List<String> commands = new ArrayList<>();
        long appliedIndex;

        ControlProcess(String id) {
            this.id = id;
        }

        void start() {
            commands = new ArrayList<>();
            appliedIndex = 0;
            log =
                    ReplicatedLog.open(
                                    storage,
                                    id,
                                    () -> ++lastIncarnation,
                                    new LogSettings(4096),
                                    settings,
                                    this,
                                    random.split(),
                                    now,
                                    now)
                            .getOrElseThrow(e -> new IllegalStateException(e.message()));
        }

        void crash() {
            log = null;
            storage.crash(random);
        }

        void loseDisk() {
            log = null;
            storage = new MemoryStorage();
        }

        boolean ready() {
            return log != null && log.leaderReady(now);
        }

        void handle(ConsensusEvent event) {
            execute(log.handle(event, now));
        }

        Either<Refusal, Position> propose(String command) {
            return log.propose(command.getBytes(StandardCharsets.UTF_8), now)
                    .peek(proposed -> execute(proposed.actions()))
                    .map(ReplicatedLog.Proposed::position);
        }

        Either<Refusal, Position> change(MembershipChange change) {
            return log.change(change, now)
                    .peek(proposed -> execute(proposed.actions()))
                    .map(ReplicatedLog.Proposed::position);
        }

        private void execute(List<ConsensusAction> actions) {
            for (ConsensusAction action : actions) {
                if (action instanceof ConsensusAction.Send send) {
                    transmit(id, send.message());
                } else if (action instanceof ConsensusAction.BecameLeader won) {
                    MemberId other = leadersByTerm.putIfAbsent(won.term(), log.node().self());
                    assertThat(other).as("second leader of term %s", won.term()).isNull();
                }
            }
        }

        @Override
        public void apply(Position position, byte[] command) {
            String text = new String(command, StandardCharsets.UTF_8);
            commands.add(text);
            recordApplied(position, text);
        }

        @Override
        public void skip(Position position) {
            recordApplied(position, "");
        }

        private void recordApplied(Position position, String text) {
            assertThat(position.index()).isEqualTo(appliedIndex + 1);
            appliedIndex = position.index();
            String entry = position.term() + ":" + text;
            String known = committed.putIfAbsent(position.index(), entry);
            assertThat(known == null || known.equals(entry))
                    .as("committed entry %s changed from %s to %s", position, known, entry)
                    .isTrue();
        }

        @Override
        public byte[] snapshot() {
            return String.join("\n", commands).getBytes(StandardCharsets.UTF_8);
        }

        @Override
        public void restore(Position last, byte[] snapshot) {
            String text = new String(snapshot, StandardCharsets.UTF_8);
            commands = new ArrayList<>(text.isEmpty() ? List.of() : List.of(text.split("\n")));
            appliedIndex = last.index();
            assertThat(commands).isEqualTo(committedCommands(last.index()));
        }
    }

    List<String> committedCommands(long through) {
        return committed.headMap(through, true).values().stream()
                .map(entry -> entry.substring(entry.indexOf(':') + 1))
                .filter(text -> !text.isEmpty())
                .toList();
    }

    ControlProcess get(int i) {
        return processes.get("n" + i);
    }

    void blockLink(String from, String to) {
        blockedLinks.add(from + ">" + to);
    }

    /** Blocks all links from and to a process. */
    void isolate(String id) {
        for (String other : processes.keySet()) {
            blockLink(id, other);
            blockLink(other, id);
        }
    }

    void heal() {
        blockedLinks.clear();
        lossProbability = 0;
        duplicationProbability = 0;
    }

    private void transmit(String from, ConsensusMessage message) {
        String to = message.to().node();
        ByteString bytes = ConsensusCodec.encode(message).toByteString();
        int copies = random.nextDouble() < duplicationProbability ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (random.nextDouble() >= lossProbability && !blockedLinks.contains(from + ">" + to)) {
                long at = now + NANOS_PER_MS / 2 + random.nextLong(maxDelayNanos);
                network.add(new Delivery(at, nextSequence++, from, to, bytes));
            }
        }
    }

    void run(long durationNanos) {
        long end = now + durationNanos;
        runUntil(end, () -> false);
        now = end;
    }

    /** Runs until the condition holds; fails if it does not within {@code durationNanos}. */
    void await(long durationNanos, String what, BooleanSupplier condition) {
        assertThat(runUntil(now + durationNanos, condition)).as(what + dump()).isTrue();
    }

    private boolean runUntil(long end, BooleanSupplier condition) {
        while (!condition.getAsBoolean()) {
            long next = network.isEmpty() ? Long.MAX_VALUE : network.peek().at;
            ControlProcess due = null;
            for (ControlProcess process : processes.values()) {
                if (process.log != null && process.log.nextDeadline() < next) {
                    next = process.log.nextDeadline();
                    due = process;
                }
            }
            if (next > end) {
                return condition.getAsBoolean();
            }
            now = Math.max(now, next);
            if (due != null) {
                due.handle(new ConsensusEvent.Tick());
            } else {
                deliver(network.remove());
            }
            checkReadyLeaders();
        }
        return true;
    }

    private void deliver(Delivery delivery) {
        ControlProcess target = processes.get(delivery.to);
        if (target.log != null && !blockedLinks.contains(delivery.from + ">" + delivery.to)) {
            ConsensusMessage message = ConsensusCodec.decode(delivery.bytes.toByteArray()).get();
            target.handle(new ConsensusEvent.Received(message));
        }
    }

    /** Two ready leaders, or one that lacks a committed entry, would serve stale reads. */
    private void checkReadyLeaders() {
        List<ControlProcess> ready =
                processes.values().stream().filter(ControlProcess::ready).toList();
        assertThat(ready).as("ready leaders").hasSizeLessThanOrEqualTo(1);
        if (!ready.isEmpty() && !committed.isEmpty()) {
            assertThat(ready.get(0).appliedIndex).isGreaterThanOrEqualTo(committed.lastKey());
        }
    }

    ControlProcess awaitLeader() {
        await(
                10_000 * NANOS_PER_MS,
                "leader",
                () -> processes.values().stream().anyMatch(ControlProcess::ready));
        return leader();
    }

    ControlProcess leader() {
        return processes.values().stream().filter(ControlProcess::ready).findFirst().orElseThrow();
    }

    ControlProcess otherThan(ControlProcess... excluded) {
        return processes.values().stream()
                .filter(p -> !List.of(excluded).contains(p))
                .findFirst()
                .orElseThrow();
    }

    void propose(int count, String prefix) {
        for (int i = 0; i < count; i++) {
            Position position = awaitLeader().propose(prefix + i).get();
            await(5_000 * NANOS_PER_MS, "commit", () -> committed.containsKey(position.index()));
        }
    }

    /** Waits until every running process has applied every committed entry. */
    void awaitConvergence() {
        await(
                10_000 * NANOS_PER_MS,
                "agreement",
                () ->
                        processes.values().stream()
                                .filter(p -> p.log != null)
                                .allMatch(p -> p.appliedIndex == committed.lastKey()));
        processes.values().stream()
                .filter(p -> p.log != null)
                .forEach(
                        p ->
                                assertThat(p.commands)
                                        .as(p.id)
                                        .isEqualTo(committedCommands(Long.MAX_VALUE)));
        checkLogMatching();
    }

    /** Log matching: entries with equal index and term have equal contents and predecessors. */
    private void checkLogMatching() {
        Map<Position, LogEntry> entries = new HashMap<>();
        Map<Position, Long> predecessors = new HashMap<>();
        for (ControlProcess process : processes.values()) {
            long before = -1;
            for (LogEntry entry :
                    DurableLog.open(
                                    process.storage.copy(),
                                    process.id,
                                    () -> 1,
                                    LogSettings.DEFAULT)
                            .get()
                            .recovered()
                            .entries()) {
                LogEntry known = entries.putIfAbsent(entry.position(), entry);
                assertThat(known == null || known.equals(entry)).isTrue();
                if (before >= 0) {
                    Long other = predecessors.putIfAbsent(entry.position(), before);
                    assertThat(other == null || other == before).isTrue();
                }
                before = entry.term();
            }
        }
    }

    /** Executes the steps of a repair; returns whether it completed in time. */
    boolean repair(String id, long durationNanos) {
        MemberRepair repair = new MemberRepair(id, now);
        long end = now + durationNanos;
        while (now < end) {
            for (ControlProcess process : List.copyOf(processes.values())) {
                if (!process.ready()) {
                    continue;
                }
                MemberRepair.Step step = repair.next(process.log.status(now));
                if (step instanceof MemberRepair.Done) {
                    return true;
                } else if (step instanceof MemberRepair.Change change) {
                    process.change(change.change()).get();
                }
            }
            run(20 * NANOS_PER_MS);
        }
        return false;
    }

    String dump() {
        StringBuilder text = new StringBuilder("\n");
        processes.values().forEach(p -> text.append(p.log == null ? p.id : p.log.dump(now)));
        return text.toString();
    }
}
