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
 * Pre-votes and votes.
 *
 * <p>While a node's log is empty, the first configuration is not yet known. Such a candidate needs
 * the vote of every initial node, and each voter's log must be empty too. The incarnations of the
 * voters are then pinned in the first entry. A majority would not suffice: a node that lost its
 * disk and one that has received nothing yet could form a second group beside the first.
 */
final class Election {
    private static final long STRANGER_LIFE_FACTOR = 4;

    private final NodeState state;
    private final Map<String, MemberId> grants = new HashMap<>();
    private final Map<String, Stranger> strangers = new HashMap<>();
    private boolean transfer;

    private record Stranger(MemberId id, long seenAt) {}

    Election(NodeState state) {
        this.state = state;
    }

    /** Returns whether this node may ask for votes. */
    boolean mayCampaign() {
        return state.log.isBlank()
                ? state.settings.initialMembers().containsKey(state.self.node())
                : state.log.configuration().isVoter(state.self);
    }

    /** Asks for pre-votes; returns whether this node needs no other. */
    boolean startPreVote() {
        state.resetElectionDeadline();
        state.leader = Option.none();
        if (!mayCampaign()) {
            state.role = Role.FOLLOWER;
            return false;
        }
        state.role = Role.PRE_CANDIDATE;
        transfer = false;
        return ask(state.term + 1);
    }

    /** Votes for itself in a new term; returns whether this node needs no other. */
    boolean startVote(boolean handedOver) {
        state.resetElectionDeadline();
        state.leader = Option.none();
        state.role = Role.CANDIDATE;
        transfer = handedOver;
        state.saveVote(state.term + 1, Option.some(state.self));
        return ask(state.term);
    }

    /** Returns the first configuration, pinned to the incarnations that have voted. */
    Configuration firstConfiguration() {
        return new Configuration(
                state.settings
                        .initialMembers()
                        .map(m -> new Member(grants.get(m._1), m._2, true))
                        .asJava());
    }

    /** Returns nodes outside the configuration that asked for votes recently. */
    Map<String, MemberId> strangers() {
        long life = STRANGER_LIFE_FACTOR * state.settings.electionMax();
        strangers.values().removeIf(s -> state.now - s.seenAt() > life);
        Map<String, MemberId> known = new HashMap<>();
        strangers.forEach((node, stranger) -> known.put(node, stranger.id()));
        known.values().removeIf(id -> state.log.configuration().member(id).isDefined());
        return known;
    }

    /** Answers a request for a pre-vote or a vote. */
    void onRequest(ConsensusMessage.VoteRequest request) {
        noteStranger(request.from());
        boolean loyal = !request.transfer() && state.heardLeaderRecently();
        if (loyal || request.term() < state.term) {
            answer(request, false);
            return;
        }
        if (request.preVote()) {
            answer(request, request.term() > state.term && isAcceptable(request));
            return;
        }
        if (request.term() > state.term) {
            state.role = Role.FOLLOWER;
            state.leader = Option.none();
            state.saveVote(request.term(), Option.none());
        }
        boolean free = state.votedFor.isEmpty() || state.votedFor.contains(request.from());
        boolean granted = free && isAcceptable(request);
        if (granted) {
            if (state.votedFor.isEmpty()) {
                state.saveVote(state.term, Option.some(request.from()));
            }
            state.resetElectionDeadline();
        }
        answer(request, granted);
    }

    /** Counts an answer; returns whether the current round is won by it. */
    boolean onResponse(ConsensusMessage.VoteResponse response) {
        boolean pre = state.role == Role.PRE_CANDIDATE && response.preVote();
        boolean real = state.role == Role.CANDIDATE && !response.preVote();
        long wanted = pre ? state.term + 1 : state.term;
        if ((!pre && !real) || !response.granted() || response.requestTerm() != wanted) {
            return false;
        }
        boolean counts =
                state.log.isBlank()
                        ? state.settings.initialMembers().containsKey(response.from().node())
                        : state.log.configuration().isVoter(response.from());
        if (!counts) {
            return false;
        }
        // The first incarnation that votes is the one that is pinned.
        grants.putIfAbsent(response.from().node(), response.from());
        return isWon();
    }

    private boolean isWon() {
        int needed =
                state.log.isBlank()
                        ? state.settings.initialMembers().size()
                        : state.log.configuration().majority();
        return grants.size() >= needed;
    }

    private boolean ask(long wantedTerm) {
        grants.clear();
        grants.put(state.self.node(), state.self);
        boolean pre = state.role == Role.PRE_CANDIDATE;
        for (MemberId voter : electorate()) {
            state.send(
                    new ConsensusMessage.VoteRequest(
                            state.self,
                            voter,
                            wantedTerm,
                            pre,
                            transfer,
                            state.log.lastIndex(),
                            state.log.lastTerm(),
                            state.log.isBlank() ? initialNodes() : List.of()));
        }
        return isWon();
    }

    private List<MemberId> electorate() {
        if (state.log.isBlank()) {
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

    /** A candidate needs a log at least as complete; one without a log needs equal settings. */
    private boolean isAcceptable(ConsensusMessage.VoteRequest request) {
        if (request.lastIndex() == 0) {
            return state.log.isBlank() && request.initialNodes().equals(initialNodes());
        }
        return request.lastTerm() > state.log.lastTerm()
                || (request.lastTerm() == state.log.lastTerm()
                        && request.lastIndex() >= state.log.lastIndex());
    }

    private void answer(ConsensusMessage.VoteRequest request, boolean granted) {
        state.send(
                new ConsensusMessage.VoteResponse(
                        state.self,
                        request.from(),
                        state.term,
                        request.term(),
                        request.preVote(),
                        granted));
    }

    private void noteStranger(MemberId from) {
        if (state.log.configuration().member(from).isEmpty()) {
            strangers.put(from.node(), new Stranger(from, state.now));
        }
    }
}
