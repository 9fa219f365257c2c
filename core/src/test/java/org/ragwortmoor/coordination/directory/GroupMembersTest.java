package org.ragwortmoor.coordination.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.vavr.control.Option;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.DirectoryCommand;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerState;
import org.ragwortmoor.state.routes.GroupLimits;
import org.ragwortmoor.state.routes.RouteTable;

/** The standing of servers in the states that they may have, and what follows for a survey. */
class GroupMembersTest {
    private DirectoryState state =
            DirectoryState.EMPTY.apply(
                    new DirectoryCommand.PutRoutes(
                            new RouteTable(
                                    1, List.of(), List.of(new GroupLimits("g", 30, 1)), 0, "")),
                    1);
    private long index = 1;

    private void announce(String id, long startedAt, String address, ServerState serverState) {
        state =
                state.apply(
                        new DirectoryCommand.PutServer(
                                new ServerRecord(
                                        id,
                                        startedAt,
                                        "g",
                                        address,
                                        "a",
                                        5,
                                        serverState,
                                        false,
                                        0)),
                        ++index);
    }

    private GroupMembers members(String replaced, String... rejected) {
        Option<ServerRecord> primary = state.servers().get(replaced);
        return GroupMembers.of(state, "g", primary, Set.of(rejected));
    }

    private static List<String> ids(List<ServerRecord> servers) {
        return servers.stream().map(ServerRecord::id).toList();
    }

    @ParameterizedTest
    @CsvSource({
        "READY, false, false, READY_REPLICA",
        "READY, false, true, REJECTED_REPLICA",
        "READY, true, false, REPLACED_PRIMARY",
        "READY, true, true, REPLACED_PRIMARY",
        "DRAINING, false, false, DRAINING_REPLICA",
        "DRAINING, false, true, REJECTED_REPLICA",
        "DRAINING, true, false, DRAINING_PRIMARY",
        "DRAINING, true, true, DRAINING_PRIMARY",
        "GONE, false, false, ENDED",
        "GONE, false, true, ENDED",
        "GONE, true, false, ENDED",
        "GONE, true, true, ENDED"
    })
    void theStandingFollowsFromTheStateOfTheServer(
            ServerState serverState, boolean replaced, boolean rejected, ServerStanding expected) {
        ServerRecord server = new ServerRecord("s1", 1, "g", "a:1", "a", 5, serverState, false, 0);
        assertThat(GroupMembers.standing(server, replaced, rejected)).isEqualTo(expected);
    }

    @Test
    void aPrimaryThatHasStartedAgainIsAServerLikeTheOthers() {
        announce("s1", 1, "a:1", ServerState.READY);
        Option<ServerRecord> replaced = state.servers().get("s1");
        announce("s1", 2, "a:1", ServerState.READY);
        assertThat(GroupMembers.of(state, "g", replaced, Set.of()).members())
                .extracting(GroupMembers.Member::standing)
                .containsExactly(ServerStanding.READY_REPLICA);
    }

    @Test
    void withSynchronousReplicasAllThatMayHoldCommitsAreAsked() {
        announce("s1", 1, "a:1", ServerState.READY);
        announce("s2", 1, "a:2", ServerState.READY);
        announce("s3", 1, "a:3", ServerState.DRAINING);
        announce("s4", 1, "a:4", ServerState.READY);
        GroupMembers members = members("s1", "s4");
        assertThat(ids(members.surveyed(1))).containsExactly("s2", "s3", "s4");
        assertThat(ids(members.suspended())).containsExactly("s1", "s2", "s3", "s4");
        assertThat(members.holders(Map.of())).isEqualTo(4);
    }

    @Test
    void withoutSynchronousReplicasOnlyCandidatesAreAsked() {
        announce("s1", 1, "a:1", ServerState.READY);
        announce("s2", 1, "a:2", ServerState.READY);
        announce("s3", 1, "a:3", ServerState.DRAINING);
        announce("s4", 1, "a:4", ServerState.READY);
        assertThat(ids(members("s1", "s4").surveyed(0))).containsExactly("s2");
    }

    @Test
    void aServerThatLeavesIsACandidateOnlyIfThereIsNoOther() {
        announce("s1", 1, "a:1", ServerState.READY);
        announce("s3", 1, "a:3", ServerState.DRAINING);
        assertThat(ids(members("s1").surveyed(0))).containsExactly("s3");
        assertThat(members("s1").hasCandidate()).isTrue();
    }

    @Test
    void aServerThatHasEndedCountsUntilItsCommitsAreHeldByOthers() {
        announce("s1", 1, "a:1", ServerState.READY);
        announce("s2", 1, "a:2", ServerState.READY);
        announce("s3", 1, "a:3", ServerState.READY);
        announce("s3", 1, "a:3", ServerState.GONE);
        assertThat(members("s1").holders(Map.of())).isEqualTo(3);
        state = state.apply(new DirectoryCommand.ConfirmReplication("g", index), ++index);
        assertThat(members("s1").holders(Map.of())).isEqualTo(2);
    }

    @Test
    void aServerAtTheAddressOfOneThatHasEndedStandsForIt() {
        announce("s1", 1, "a:1", ServerState.READY);
        announce("s2", 1, "a:2", ServerState.READY);
        announce("s3", 2, "a:2", ServerState.READY);
        assertThat(members("s1").holders(Map.of())).isEqualTo(2);
        assertThat(members("s1").holders(Map.of("s3", new Position(1, 5)))).isEqualTo(2);
        // It has started without the log.
        assertThat(members("s1").holders(Map.of("s3", Position.ZERO))).isEqualTo(3);
    }
}
