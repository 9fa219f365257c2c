package org.ragwortmoor.state.rules;

import io.vavr.control.Option;

/** A check of a single line, independent of the other lines. */
@FunctionalInterface
interface LineCheck {
    /** Returns the problem of the line, if any; also none if an earlier check rejects the line. */
    Option<RuleProblem> check(LexedLine line);
}
