package org.ragwortmoor.state.routes;

import io.vavr.control.Option;
import java.util.List;

/** A check that a table must pass before it is accepted. */
public interface RouteTableCheck {
    /** All checks, in the order in which they run. */
    List<RouteTableCheck> ALL =
            List.of(
                    new KnownGroups(),
                    new UniqueRoutes(),
                    new PositiveTimeouts(),
                    new UnsharedKeys());

    /** Returns a message with the first problem of the table and its remedy, if any. */
    Option<String> problem(RouteTable table);

    /** Returns the first problem of the table, if any. */
    static Option<String> firstProblem(RouteTable table) {
        for (RouteTableCheck check : ALL) {
            Option<String> problem = check.problem(table);
            if (problem.isDefined()) {
                return problem;
            }
        }
        return Option.none();
    }
}
