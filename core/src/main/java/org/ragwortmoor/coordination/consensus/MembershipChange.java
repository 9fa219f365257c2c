package org.ragwortmoor.coordination.consensus;

import org.ragwortmoor.state.log.MemberId;

/** A change of one member. */
public sealed interface MembershipChange {
    /** Adds a member without a vote. */
    record AddLearner(MemberId id, String address) implements MembershipChange {}

    /** Gives a caught-up learner a vote. */
    record Promote(MemberId id) implements MembershipChange {}

    /** Removes a member of exactly this incarnation. */
    record Remove(MemberId id) implements MembershipChange {}
}
