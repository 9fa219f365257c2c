package org.ragwortmoor.state.rules;

import io.vavr.control.Option;

/** A check of one line by itself. */
@FunctionalInterface
interface LineCheck {
    /** Returns the problem of the line; none also if an earlier check refuses the line. */
    Option<RuleProblem> check(Statement statement);
}
