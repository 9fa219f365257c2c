package org.ragwortmoor.state.rules;

import java.util.List;

/** A check of a line against the other lines of the file. */
@FunctionalInterface
interface SetCheck {
    /** Returns the problems of all lines. */
    List<RuleProblem> check(SourceLines lines);
}
