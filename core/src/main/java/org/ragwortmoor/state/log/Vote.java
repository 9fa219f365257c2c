package org.ragwortmoor.state.log;

import io.vavr.control.Option;

/**
 * The newest term that a node has seen and its vote in that term.
 *
 * @param term newest term, 0 at first
 * @param candidate the candidate that got this node's vote, if any
 */
public record Vote(long term, Option<MemberId> candidate) {
    /** The vote of a new data folder. */
    public static final Vote NONE = new Vote(0, Option.none());
}
