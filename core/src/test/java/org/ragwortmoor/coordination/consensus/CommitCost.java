package org.ragwortmoor.coordination.consensus;

import com.google.protobuf.ByteString;
import java.lang.management.ManagementFactory;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.ragwortmoor.protocol.ConsensusCodec;
import org.ragwortmoor.state.log.MemberId;
import org.ragwortmoor.state.log.Recovered;
import org.ragwortmoor.state.log.Vote;

/**
 * Benchmark of time, allocation and message bytes per committed entry, with three nodes in one
 * thread and without storage.
 *
 * <p>Arguments: entries per run, payload bytes, commands per batch.
 */
final class CommitCost {
    private static final long NANOS_PER_MS = 1_000_000;

    private final List<ConsensusNode> nodes = new ArrayList<>();
    private final ArrayDeque<ConsensusMessage> network = new ArrayDeque<>();
    private final List<ConsensusMessage> recordedMessages = new ArrayList<>();
    private long now;
    private long applied;
    private boolean recordMessages;

    private CommitCost() {
        Map<String, String> members = Map.of("n0", "x", "n1", "x", "n2", "x");
        for (int i = 0; i < members.size(); i++) {
            Recovered empty =
                    new Recovered(
                            new MemberId("n" + i, i + 1L),
                            Vote.NONE,
                            io.vavr.control.Option.none(),
                            List.of(),
                            List.of());
            nodes.add(
                    new ConsensusNode(
                            empty,
                            ConsensusSettings.defaults(members),
                            new SplittableRandom(i),
                            now,
                            now));
        }
        while (nodes.stream().noneMatch(n -> n.leaderReady(now))) {
            now += NANOS_PER_MS;
            advance();
        }
    }

    private void advance() {
        for (ConsensusNode node : nodes) {
            if (now >= node.nextDeadline()) {
                handle(node, new ConsensusEvent.Tick());
            }
        }
        while (!network.isEmpty()) {
            ConsensusMessage message = network.remove();
            for (ConsensusNode node : nodes) {
                if (node.self().node().equals(message.to().node())) {
                    handle(node, new ConsensusEvent.Received(message));
                }
            }
        }
    }

    private void handle(ConsensusNode node, ConsensusEvent event) {
        handle(node, List.of(event));
    }

    private void handle(ConsensusNode node, List<ConsensusEvent> events) {
        for (ConsensusAction action : node.handleAll(events, now)) {
            if (action instanceof ConsensusAction.Send send) {
                network.add(send.message());
                if (recordMessages) {
                    recordedMessages.add(send.message());
                }
            } else if (action instanceof ConsensusAction.SyncLog sync) {
                handle(node, new ConsensusEvent.StorageSynced(sync.through()));
            } else if (action instanceof ConsensusAction.TakeSnapshot take) {
                handle(node, new ConsensusEvent.SnapshotTaken(take.index(), ByteString.EMPTY));
            } else if (action instanceof ConsensusAction.Apply && node == nodes.get(0)) {
                applied++;
            }
        }
    }

    private void run(int entries, ByteString payload, int batch) {
        ConsensusNode leader =
                nodes.stream().filter(n -> n.leaderReady(now)).findFirst().orElseThrow();
        for (int i = 0; i < entries; i += batch) {
            List<ConsensusEvent> commands = new ArrayList<>();
            for (int j = 0; j < batch; j++) {
                commands.add(new ConsensusEvent.Propose(j, payload));
            }
            handle(leader, commands);
            // 10,000 entries per second of virtual time, so that the share of heartbeats is
            // realistic.
            now += batch * NANOS_PER_MS / 10;
            advance();
        }
    }

    public static void main(String[] arguments) {
        int entries = Integer.parseInt(arguments[0]);
        ByteString payload = ByteString.copyFrom(new byte[Integer.parseInt(arguments[1])]);
        int batch = Integer.parseInt(arguments[2]);
        var threads = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        CommitCost cost = new CommitCost();
        for (int round = 0; round < 6; round++) {
            long allocated = threads.getCurrentThreadAllocatedBytes();
            long started = System.nanoTime();
            long before = cost.applied;
            cost.run(entries, payload, batch);
            long nanos = System.nanoTime() - started;
            long bytes = threads.getCurrentThreadAllocatedBytes() - allocated;
            long committedEntries = Math.max(1, cost.applied - before);
            System.out.printf(
                    "round %d: %d entries, %d ns and %d allocated bytes per entry%n",
                    round, committedEntries, nanos / committedEntries, bytes / committedEntries);
        }
        cost.recordMessages = true;
        cost.run(entries, payload, batch);
        long messageBytes =
                cost.recordedMessages.stream()
                        .mapToLong(m -> ConsensusCodec.encode(m).getSerializedSize())
                        .sum();
        System.out.printf("%d message bytes per entry, 3 nodes together%n", messageBytes / entries);
    }
}
