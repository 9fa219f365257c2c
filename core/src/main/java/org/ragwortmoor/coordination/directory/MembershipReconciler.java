package org.ragwortmoor.coordination.directory;

import io.vavr.control.Option;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.coordination.consensus.ClusterStatus;
import org.ragwortmoor.coordination.consensus.MembershipChange;
import org.ragwortmoor.state.log.Configuration;
import org.ragwortmoor.state.log.Member;
import org.ragwortmoor.state.log.MemberId;

/**
 * Maintains the membership of the control group without an operator. Processes that ask to join
 * become learners. Caught-up learners become voters while the group is small, or replace failed
 * voters.
 *
 * <p>A process that lost its disk joins under a new incarnation and never votes under its old one.
 * Each step is a single membership change derived from the replicated configuration, so a new
 * leader continues where the previous one stopped.
 */
public final class MembershipReconciler {
    /** Maximum number of voters; five tolerate the loss of two. */
    private static final int MAX_VOTERS = 5;

    /** Time without contact after which a voter may be replaced. */
    private static final long VOTER_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    /** Time without contact after which a learner is removed. */
    private static final long LEARNER_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Time for which a join request stays valid; candidates repeat it more often than that. */
    private static final long JOIN_REQUEST_TTL_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Map<String, Candidate> candidates = new HashMap<>();
    private final Map<MemberId, Long> firstSeen = new HashMap<>();

    private record Candidate(MemberId id, String address, long requestedAt) {}

    /** Records a join request of a process that is not a member. */
    public void recordJoinRequest(MemberId id, String address, long now) {
        candidates.put(id.node(), new Candidate(id, address, now));
    }

    /** Discards contact times of an earlier leadership; to be called on election as leader. */
    public void reset() {
        firstSeen.clear();
    }

    /** Returns the membership change that the leader should propose next, if any. */
    public Option<MembershipChange> nextChange(ClusterStatus status) {
        if (!status.leaderReady() || !status.configurationCommitted()) {
            return Option.none();
        }
        long now = status.now();
        Configuration configuration = status.configuration();
        configuration.members().forEach(m -> firstSeen.putIfAbsent(m.id(), now));
        candidates.values().removeIf(c -> now - c.requestedAt() > JOIN_REQUEST_TTL_NANOS);
        return removeFailedLearner(status)
                .orElse(() -> removeOldIncarnation(status))
                .orElse(() -> promoteLearner(status))
                .orElse(() -> removeFailedVoter(status))
                .orElse(() -> addLearner(configuration));
    }

    /**
     * Removes a learner without contact, which would otherwise block the replacement of its node.
     */
    private Option<MembershipChange> removeFailedLearner(ClusterStatus status) {
        for (Member member : learners(status.configuration())) {
            if (timeWithoutContact(status, member.id()) >= LEARNER_TIMEOUT_NANOS) {
                return Option.some(new MembershipChange.Remove(member.id()));
            }
        }
        return Option.none();
    }

    /**
     * Removes the old incarnation of a node once the new one has caught up; the old one can never
     * return.
     */
    private Option<MembershipChange> removeOldIncarnation(ClusterStatus status) {
        for (Member learner : learners(status.configuration())) {
            for (Member other : status.configuration().membersOf(learner.id().node())) {
                if (!other.id().equals(learner.id()) && caughtUp(status, learner.id())) {
                    return Option.some(new MembershipChange.Remove(other.id()));
                }
            }
        }
        return Option.none();
    }

    private Option<MembershipChange> promoteLearner(ClusterStatus status) {
        Configuration configuration = status.configuration();
        int voters = configuration.voters().size();
        int learners = learners(configuration).size();
        boolean replacesVoter =
                configuration.voters().stream().anyMatch(id -> voterFailed(status, id));
        // An even number of voters tolerates no more losses than the odd number below it.
        boolean needed =
                replacesVoter || voters % 2 == 0 || (voters + 2 <= MAX_VOTERS && learners >= 2);
        if (!needed) {
            return Option.none();
        }
        for (Member learner : learners(configuration)) {
            boolean onlyIncarnation = configuration.membersOf(learner.id().node()).size() == 1;
            if (onlyIncarnation && caughtUp(status, learner.id())) {
                return Option.some(new MembershipChange.Promote(learner.id()));
            }
        }
        return Option.none();
    }

    /**
     * Removes a failed voter from an even number of voters, which is reached by promoting its
     * replacement first. The group of one voter fewer tolerates as many losses.
     */
    private Option<MembershipChange> removeFailedVoter(ClusterStatus status) {
        int voters = status.configuration().voters().size();
        if (voters % 2 != 0) {
            return Option.none();
        }
        for (MemberId id : status.configuration().voters()) {
            if (voterFailed(status, id)) {
                return Option.some(new MembershipChange.Remove(id));
            }
        }
        return Option.none();
    }

    private Option<MembershipChange> addLearner(Configuration configuration) {
        for (Candidate candidate : candidates.values()) {
            boolean member = configuration.member(candidate.id()).isDefined();
            boolean nodeHasLearner =
                    configuration.membersOf(candidate.id().node()).stream()
                            .anyMatch(m -> !m.voter());
            if (!member && !nodeHasLearner) {
                return Option.some(
                        new MembershipChange.AddLearner(candidate.id(), candidate.address()));
            }
        }
        return Option.none();
    }

    private static List<Member> learners(Configuration configuration) {
        return configuration.members().stream().filter(m -> !m.voter()).toList();
    }

    private boolean voterFailed(ClusterStatus status, MemberId id) {
        return !id.equals(status.self()) && timeWithoutContact(status, id) >= VOTER_TIMEOUT_NANOS;
    }

    private long timeWithoutContact(ClusterStatus status, MemberId id) {
        long seenAt = firstSeen.getOrDefault(id, status.now());
        long contactAt =
                Option.of(status.progress().get(id)).flatMap(p -> p.contactAt()).getOrElse(seenAt);
        return status.now() - (contactAt - seenAt > 0 ? contactAt : seenAt);
    }

    private boolean caughtUp(ClusterStatus status, MemberId id) {
        ClusterStatus.MemberProgress progress = status.progress().get(id);
        return progress != null
                && progress.contactAt().exists(at -> status.now() - at < VOTER_TIMEOUT_NANOS)
                && progress.matchIndex() >= status.commitIndex();
    }
}
