package org.ragwortmoor.coordination.consensus;

import org.ragwortmoor.state.log.MemberId;

/** A change of the configuration that affects one member. */
public sealed interface MembershipChange {
    /** Adds a non-voting member. */
    record AddLearner(MemberId id, String address) implements MembershipChange {}

    /** Makes a learner that has caught up a voter. */
    record Promote(MemberId id) implements MembershipChange {}

    /** Removes the member with exactly this incarnation. */
    record Remove(MemberId id) implements MembershipChange {}
}
