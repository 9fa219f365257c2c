package org.ragwortmoor.coordination.directory;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.Departure;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerState;

/**
 * The servers of a group that have not ended, with their standing in a failover.
 *
 * @param members members in the order of the directory
 * @param departures ended servers whose commits no member is known to hold
 */
record GroupMembers(List<Member> members, List<Departure> departures) {
    /** A server with its standing. */
    record Member(ServerRecord server, ServerStanding standing) {}

    /**
     * Classifies the servers of a group.
     *
     * @param replaced primary to be replaced
     * @param rejected ids of the servers whose promotion the platform has rejected
     */
    static GroupMembers of(
            DirectoryState state,
            String group,
            Option<ServerRecord> replaced,
            Set<String> rejected) {
        List<Member> members = new ArrayList<>();
        for (ServerRecord server : state.members(group)) {
            // A server that has started again is another one, also under the same id.
            boolean isReplaced =
                    replaced.exists(
                            r ->
                                    r.id().equals(server.id())
                                            && r.startedAtMillis() == server.startedAtMillis());
            members.add(
                    new Member(
                            server, standing(server, isReplaced, rejected.contains(server.id()))));
        }
        return new GroupMembers(List.copyOf(members), state.replication(group).departures());
    }

    /** Returns the standing of a server. */
    static ServerStanding standing(ServerRecord server, boolean replaced, boolean rejected) {
        if (server.state() == ServerState.GONE) {
            return ServerStanding.ENDED;
        }
        boolean draining = server.state() == ServerState.DRAINING;
        if (replaced) {
            return draining ? ServerStanding.DRAINING_PRIMARY : ServerStanding.REPLACED_PRIMARY;
        }
        if (rejected) {
            return ServerStanding.REJECTED_REPLICA;
        }
        return draining ? ServerStanding.DRAINING_REPLICA : ServerStanding.READY_REPLICA;
    }

    /**
     * Returns how many servers may be the only one that holds an acknowledged commit. A server that
     * has ended is counted unless a server at its address has its log.
     *
     * @param positions the positions that servers have reported, by server id
     */
    int holders(Map<String, Position> positions) {
        int holders = 0;
        for (Member member : members) {
            holders += member.standing().holdsCommits() ? 1 : 0;
        }
        for (Departure departure : departures) {
            holders += hasSuccessor(departure, positions) ? 0 : 1;
        }
        return holders;
    }

    private boolean hasSuccessor(Departure departure, Map<String, Position> positions) {
        return members.stream()
                .map(Member::server)
                .filter(s -> s.address().equals(departure.address()))
                .anyMatch(s -> !Position.ZERO.equals(positions.get(s.id())));
    }

    /**
     * Returns the servers whose positions decide on a promotion. Without synchronous replicas these
     * are the servers that would be promoted: those that leave only if there are no others.
     */
    List<ServerRecord> surveyed(int syncReplicas) {
        if (syncReplicas > 0) {
            return members.stream()
                    .filter(m -> m.standing().surveyed())
                    .map(Member::server)
                    .toList();
        }
        List<ServerRecord> ready = with(ServerStanding.READY_REPLICA);
        return ready.isEmpty() ? with(ServerStanding.DRAINING_REPLICA) : ready;
    }

    /** Returns the servers that are suspended before a promotion with synchronous replicas. */
    List<ServerRecord> suspended() {
        return members.stream().filter(m -> m.standing().suspended()).map(Member::server).toList();
    }

    /** Returns whether any server may be promoted. */
    boolean hasCandidate() {
        return members.stream()
                .anyMatch(
                        m ->
                                m.standing().surveyed()
                                        && m.standing().choice() != ServerStanding.Choice.NEVER);
    }

    /** Returns all servers, whatever their standing. */
    List<ServerRecord> servers() {
        return members.stream().map(Member::server).toList();
    }

    private List<ServerRecord> with(ServerStanding standing) {
        return members.stream().filter(m -> m.standing() == standing).map(Member::server).toList();
    }
}
