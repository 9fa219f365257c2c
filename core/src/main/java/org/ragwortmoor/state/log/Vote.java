package org.ragwortmoor.state.log;

import io.vavr.control.Option;

/**
 * The newest term that a node has seen and the vote that it cast in that term.
 *
 * @param term newest term, initially 0
 * @param candidate candidate that the node voted for, if any
 */
public record Vote(long term, Option<MemberId> candidate) {
    /** The vote of a new data folder. */
    public static final Vote NONE = new Vote(0, Option.none());
}
