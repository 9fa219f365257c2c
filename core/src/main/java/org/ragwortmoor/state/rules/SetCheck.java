package org.ragwortmoor.state.rules;

import java.util.List;

/** A check that compares the lines of a file with each other. */
@FunctionalInterface
interface SetCheck {
    /** Returns the problems of all lines. */
    List<RuleProblem> check(SourceLines lines);
}
