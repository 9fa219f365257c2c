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
 * Keeps the control group complete without an operator: processes that ask to join become learners,
 * caught-up learners become voters while the group is small, and replace voters that are gone.
 *
 * <p>A process that lost its disk asks under a new incarnation and never votes as its old one.
 * Every step is one membership change, derived from the replicated configuration, so a new leader
 * goes on where the last one stopped.
 */
public final class MembershipKeeper {
    /** Voters at most; five survive the loss of two. */
    private static final int MAX_VOTERS = 5;

    /** Time without an answer after which a voter may be replaced, in nanoseconds. */
    private static final long VOTER_SILENT = TimeUnit.MILLISECONDS.toNanos(2_500);

    /** Time without an answer after which a learner is forgotten, in nanoseconds. */
    private static final long LEARNER_SILENT = TimeUnit.SECONDS.toNanos(3);

    /** Time for which a request to join stays valid, in nanoseconds; it is repeated more often. */
    private static final long JOIN_LIFE = TimeUnit.SECONDS.toNanos(1);

    private final Map<String, Candidate> candidates = new HashMap<>();
    private final Map<MemberId, Long> firstSeen = new HashMap<>();

    private record Candidate(MemberId id, String address, long askedAt) {}

    /** Notes that a process outside of the group asks to join. */
    public void asked(MemberId id, String address, long now) {
        candidates.put(id.node(), new Candidate(id, address, now));
    }

    /** Forgets times of an earlier leadership; to be called when the process becomes leader. */
    public void restart() {
        firstSeen.clear();
    }

    /** Returns the next change, if one is due; to be proposed by the leader. */
    public Option<MembershipChange> next(ClusterStatus status) {
        if (!status.leaderReady() || !status.configurationCommitted()) {
            return Option.none();
        }
        long now = status.now();
        Configuration configuration = status.configuration();
        configuration.members().forEach(m -> firstSeen.putIfAbsent(m.id(), now));
        candidates.values().removeIf(c -> now - c.askedAt() > JOIN_LIFE);
        return forgetLearner(status)
                .orElse(() -> removeOldIncarnation(status))
                .orElse(() -> promote(status))
                .orElse(() -> removeSilentVoter(status))
                .orElse(() -> add(configuration));
    }

    /** A learner that does not answer would block the replacement of its node. */
    private Option<MembershipChange> forgetLearner(ClusterStatus status) {
        for (Member member : learners(status.configuration())) {
            if (silentFor(status, member.id()) >= LEARNER_SILENT) {
                return Option.some(new MembershipChange.Remove(member.id()));
            }
        }
        return Option.none();
    }

    /** The new incarnation of a voter has caught up, so the old one can never come back. */
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

    private Option<MembershipChange> promote(ClusterStatus status) {
        Configuration configuration = status.configuration();
        int voters = configuration.voters().size();
        int learners = learners(configuration).size();
        boolean replaces = configuration.voters().stream().anyMatch(id -> goneVoter(status, id));
        // An even number of voters survives no more losses than the odd number below it.
        boolean wanted = replaces || voters % 2 == 0 || (voters + 2 <= MAX_VOTERS && learners >= 2);
        if (!wanted) {
            return Option.none();
        }
        for (Member learner : learners(configuration)) {
            boolean alone = configuration.membersOf(learner.id().node()).size() == 1;
            if (alone && caughtUp(status, learner.id())) {
                return Option.some(new MembershipChange.Promote(learner.id()));
            }
        }
        return Option.none();
    }

    /** A silent voter leaves only when the others outnumber it without its successor. */
    private Option<MembershipChange> removeSilentVoter(ClusterStatus status) {
        int voters = status.configuration().voters().size();
        if (voters % 2 != 0) {
            return Option.none();
        }
        for (MemberId id : status.configuration().voters()) {
            if (goneVoter(status, id)) {
                return Option.some(new MembershipChange.Remove(id));
            }
        }
        return Option.none();
    }

    private Option<MembershipChange> add(Configuration configuration) {
        for (Candidate candidate : candidates.values()) {
            boolean known = configuration.member(candidate.id()).isDefined();
            boolean learning =
                    configuration.membersOf(candidate.id().node()).stream()
                            .anyMatch(m -> !m.voter());
            if (!known && !learning) {
                return Option.some(
                        new MembershipChange.AddLearner(candidate.id(), candidate.address()));
            }
        }
        return Option.none();
    }

    private static List<Member> learners(Configuration configuration) {
        return configuration.members().stream().filter(m -> !m.voter()).toList();
    }

    private boolean goneVoter(ClusterStatus status, MemberId id) {
        return !id.equals(status.self()) && silentFor(status, id) >= VOTER_SILENT;
    }

    private long silentFor(ClusterStatus status, MemberId id) {
        long known = firstSeen.getOrDefault(id, status.now());
        long contact =
                Option.of(status.progress().get(id)).flatMap(p -> p.contactAt()).getOrElse(known);
        return status.now() - (contact - known > 0 ? contact : known);
    }

    private boolean caughtUp(ClusterStatus status, MemberId id) {
        ClusterStatus.MemberProgress progress = status.progress().get(id);
        return progress != null
                && progress.contactAt().exists(at -> status.now() - at < VOTER_SILENT)
                && progress.matchIndex() >= status.commitIndex();
    }
}
