package org.ragwortmoor.coordination.consensus;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;
import org.ragwortmoor.state.log.Configuration;
import org.ragwortmoor.state.log.Member;
import org.ragwortmoor.state.log.MemberId;

/**
 * Leader election with pre-votes.
 *
 * <p>A node whose log is empty does not know the first configuration. To be elected it needs the
 * vote of every initial node, each with an empty log. The first log entry then records the
 * incarnations of these voters. A majority would not suffice: a node that lost its disk and a node
 * that has not received any entry yet could form a second group.
 */
final class Election {
    /** Number of maximum election timeouts for which a vote request of a non-member is kept. */
    private static final long NON_MEMBER_RETENTION_ELECTION_TIMEOUTS = 4;

    private final NodeState state;
    private final Map<String, MemberId> grantedVotes = new HashMap<>();
    private final Map<String, NonMember> nonMembers = new HashMap<>();
    private boolean leadershipTransfer;

    private record NonMember(MemberId id, long seenAt) {}

    Election(NodeState state) {
        this.state = state;
    }

    /** Returns whether this node may become a candidate. */
    boolean mayCampaign() {
        return state.log.isEmpty()
                ? state.settings.initialMembers().containsKey(state.self.node())
                : state.log.configuration().isVoter(state.self);
    }

    /** Starts a pre-vote; returns whether this node alone is sufficient to win it. */
    boolean startPreVote() {
        state.resetElectionDeadline();
        state.leader = Option.none();
        if (!mayCampaign()) {
            state.role = Role.FOLLOWER;
            return false;
        }
        state.role = Role.PRE_CANDIDATE;
        leadershipTransfer = false;
        return requestVotes(state.term + 1);
    }

    /** Starts an election in a new term; returns whether the own vote is sufficient to win it. */
    boolean startVote(boolean isLeadershipTransfer) {
        state.resetElectionDeadline();
        state.leader = Option.none();
        state.role = Role.CANDIDATE;
        leadershipTransfer = isLeadershipTransfer;
        state.saveVote(state.term + 1, Option.some(state.self));
        return requestVotes(state.term);
    }

    /** Returns the first configuration, with the incarnations that granted their votes. */
    Configuration firstConfiguration() {
        return new Configuration(
                state.settings
                        .initialMembers()
                        .map(m -> new Member(grantedVotes.get(m._1), m._2, true))
                        .asJava());
    }

    /** Returns nodes outside the configuration that requested votes recently, by node id. */
    Map<String, MemberId> nonMembers() {
        long retentionNanos = NON_MEMBER_RETENTION_ELECTION_TIMEOUTS * state.settings.electionMax();
        nonMembers.values().removeIf(s -> state.now - s.seenAt() > retentionNanos);
        Map<String, MemberId> recent = new HashMap<>();
        nonMembers.forEach((node, nonMember) -> recent.put(node, nonMember.id()));
        recent.values().removeIf(id -> state.log.configuration().member(id).isDefined());
        return recent;
    }

    /** Answers a pre-vote or vote request. */
    void onRequest(ConsensusMessage.VoteRequest request) {
        recordNonMember(request.from());
        boolean leaderActive = !request.transfer() && state.hasRecentLeaderContact();
        if (leaderActive || request.term() < state.term) {
            respond(request, false);
            return;
        }
        if (request.preVote()) {
            respond(request, request.term() > state.term && isEligibleCandidate(request));
            return;
        }
        if (request.term() > state.term) {
            state.role = Role.FOLLOWER;
            state.leader = Option.none();
            state.saveVote(request.term(), Option.none());
        }
        boolean voteAvailable = state.votedFor.isEmpty() || state.votedFor.contains(request.from());
        boolean granted = voteAvailable && isEligibleCandidate(request);
        if (granted) {
            if (state.votedFor.isEmpty()) {
                state.saveVote(state.term, Option.some(request.from()));
            }
            state.resetElectionDeadline();
        }
        respond(request, granted);
    }

    /** Counts a vote response; returns whether it wins the current pre-vote or vote. */
    boolean onResponse(ConsensusMessage.VoteResponse response) {
        boolean isPreVote = state.role == Role.PRE_CANDIDATE && response.preVote();
        boolean isVote = state.role == Role.CANDIDATE && !response.preVote();
        long expectedTerm = isPreVote ? state.term + 1 : state.term;
        if ((!isPreVote && !isVote)
                || !response.granted()
                || response.requestTerm() != expectedTerm) {
            return false;
        }
        boolean isEligibleVoter =
                state.log.isEmpty()
                        ? state.settings.initialMembers().containsKey(response.from().node())
                        : state.log.configuration().isVoter(response.from());
        if (!isEligibleVoter) {
            return false;
        }
        // For each node, the first configuration contains the incarnation whose vote arrived first.
        grantedVotes.putIfAbsent(response.from().node(), response.from());
        return isWon();
    }

    private boolean isWon() {
        int requiredVotes =
                state.log.isEmpty()
                        ? state.settings.initialMembers().size()
                        : state.log.configuration().majority();
        return grantedVotes.size() >= requiredVotes;
    }

    private boolean requestVotes(long electionTerm) {
        grantedVotes.clear();
        grantedVotes.put(state.self.node(), state.self);
        boolean isPreVote = state.role == Role.PRE_CANDIDATE;
        for (MemberId voter : otherVoters()) {
            state.send(
                    new ConsensusMessage.VoteRequest(
                            state.self,
                            voter,
                            electionTerm,
                            isPreVote,
                            leadershipTransfer,
                            state.log.lastIndex(),
                            state.log.lastTerm(),
                            state.log.isEmpty() ? initialNodes() : List.of()));
        }
        return isWon();
    }

    private List<MemberId> otherVoters() {
        if (state.log.isEmpty()) {
            return state.settings
                    .initialMembers()
                    .keySet()
                    .toJavaStream()
                    .filter(node -> !node.equals(state.self.node()))
                    .map(node -> new MemberId(node, 0))
                    .toList();
        }
        return state.log.configuration().voters().stream()
                .filter(id -> !id.equals(state.self))
                .toList();
    }

    private List<String> initialNodes() {
        SortedSet<String> sorted =
                new TreeSet<>(state.settings.initialMembers().keySet().toJavaSet());
        return List.copyOf(sorted);
    }

    /**
     * Returns whether the candidate's log is at least as up-to-date as this node's. If both logs
     * are empty, the candidate must have the same initial nodes.
     */
    private boolean isEligibleCandidate(ConsensusMessage.VoteRequest request) {
        if (request.lastIndex() == 0) {
            return state.log.isEmpty() && request.initialNodes().equals(initialNodes());
        }
        return request.lastTerm() > state.log.lastTerm()
                || (request.lastTerm() == state.log.lastTerm()
                        && request.lastIndex() >= state.log.lastIndex());
    }

    private void respond(ConsensusMessage.VoteRequest request, boolean granted) {
        state.send(
                new ConsensusMessage.VoteResponse(
                        state.self,
                        request.from(),
                        state.term,
                        request.term(),
                        request.preVote(),
                        granted));
    }

    private void recordNonMember(MemberId from) {
        if (state.log.configuration().member(from).isEmpty()) {
            nonMembers.put(from.node(), new NonMember(from, state.now));
        }
    }
}
