package org.ragwortmoor.coordination.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.ragwortmoor.state.EndpointInfo;

/** Guards against loss of replicated state in the log, in snapshots and during restarts. */
class ControlStateCodecTest {
    private static ControlCommand random(Random random, ControlState state) {
        String group = "g" + random.nextInt(3);
        String proxy = "p" + random.nextInt(12);
        String endpoint = "e" + random.nextInt(4);
        String id = "op-" + random.nextInt(400);
        EndpointInfo info =
                new EndpointInfo(
                        endpoint,
                        random.nextInt(2) - 1L,
                        "127.0.0.1:" + random.nextInt(3),
                        "Colina",
                        5,
                        30,
                        random.nextBoolean());
        long version = state.rules().version() - random.nextInt(2);
        long pending = state.rules().pending().map(RuleHistory.Entry::version).getOrElse(7L);
        Set<RuleScope> scopes = Set.of(new RuleScope(group, "k" + random.nextInt(3)));
        long begun = state.groups().get(group).map(GroupState::begunTerm).getOrElse(0L);
        List<String> members = state.members().keySet().toJavaList();
        return switch (random.nextInt(19)) {
            case 0 -> new ControlCommand.RegisterGroup(group, 3);
            case 1 -> new ControlCommand.RegisterEndpoint(group, info);
            case 2 -> new ControlCommand.ReadmitEndpoint(group, info, begun);
            case 3 -> new ControlCommand.EndpointAddressChanged(group, info);
            case 4 -> new ControlCommand.EndpointLeaving(group, endpoint, random.nextBoolean());
            case 5 -> new ControlCommand.BeginPromotion(group, begun + 1, "reason");
            case 6 -> new ControlCommand.CompletePromotion(group, begun, endpoint);
            case 7 -> new ControlCommand.MemberProxyJoined(proxy, "Lampa");
            case 8 -> new ControlCommand.GrantFloor(proxy);
            case 9 -> new ControlCommand.MemberProxyRemoved(proxy, "stale");
            case 10 -> new ControlCommand.ActivateRules(pending, members);
            case 11 -> new ControlCommand.RulesInForce(version, random.nextInt(1_000));
            case 12 -> new ControlCommand.ApplyRules(id, version, "t" + id, scopes, "ana", 3);
            case 13 -> new ControlCommand.PrepareRules(id, version, "t" + id, scopes, "eva", 4);
            case 14 -> new ControlCommand.WithdrawRules(id, pending, "ana", 5);
            case 15 ->
                    new ControlCommand.DrainEndpoint(
                            id, group, endpoint, random.nextBoolean(), "ana", 6);
            case 16 -> new ControlCommand.RemoveProxy(id, proxy, "ana", 7);
            case 17 -> new ControlCommand.ReplaceEndpoint(id, group, endpoint, info, "ana", 8);
            default ->
                    new ControlCommand.AddTokenKey(
                            id, new TokenKey(random.nextInt(50), "c2VjcmV0"), "ana", 9);
        };
    }

    @Property(tries = 200, seed = "7")
    void encodedCommandsAreDecodedUnchanged(@ForAll long seed) {
        ControlCommand command = random(new Random(seed), ControlState.EMPTY);
        byte[] bytes = ControlStateCodec.encodeCommand(command);
        assertThat(ControlStateCodec.decodeCommand(bytes).get()).isEqualTo(command);
    }

    /**
     * A process restored from a snapshot must apply later commands with the same results as the
     * others.
     */
    @Property(tries = 20, seed = "11")
    void aRestoredStateAppliesCommandsWithTheSameResults(
            @ForAll long seed, @ForAll @LongRange(min = 1, max = 900) long changes) {
        Random random = new Random(seed);
        ControlState state = ControlState.EMPTY;
        for (long i = 0; i < changes; i++) {
            state = state.apply(random(random, state))._1;
        }
        byte[] bytes = ControlStateCodec.encodeSnapshot(state);
        ControlState restored = ControlStateCodec.decodeSnapshot(bytes).get();
        assertThat(restored).isEqualTo(state);
        for (int i = 0; i < 100; i++) {
            ControlCommand command = random(random, state);
            var expected = state.apply(command);
            var actual = restored.apply(command);
            assertThat(actual._2).isEqualTo(expected._2);
            state = expected._1;
            restored = actual._1;
        }
        assertThat(ControlStateCodec.encodeSnapshot(restored))
                .isEqualTo(ControlStateCodec.encodeSnapshot(state));
    }

    @Test
    void damagedBytesAndUnknownCommandsAreReported() {
        assertThat(ControlStateCodec.decodeCommand(new byte[] {1, 2, 3}).getLeft())
                .startsWith("damaged control command");
        assertThat(ControlStateCodec.decodeCommand(new byte[0]).getLeft())
                .startsWith("unknown control command");
        assertThat(ControlStateCodec.decodeSnapshot(new byte[] {10, 9, 3}).isLeft()).isTrue();
    }
}
