package org.ragwortmoor.state.directory;

import io.vavr.control.Option;
import java.util.List;

/**
 * A check that an announced server must pass before it is stored.
 *
 * <p>What is stored is replicated and sent to all proxies, and it decides about other servers at
 * the same address. Whoever can reach a directory process can announce a server, so each value is
 * bounded.
 */
public interface ServerRecordCheck {
    /** All checks, in the order in which they run. */
    List<ServerRecordCheck> ALL =
            List.of(new BoundedNames(), new UsablePort(), new BoundedSlots(), new PlausibleStart());

    /**
     * Returns a message that names the first field that is out of bounds, and the bound, if any.
     *
     * @param nowMillis wall clock, in milliseconds since the epoch
     */
    Option<String> problem(ServerRecord server, long nowMillis);

    /** Returns the first problem of the server, if any. */
    static Option<String> firstProblem(ServerRecord server, long nowMillis) {
        for (ServerRecordCheck check : ALL) {
            Option<String> problem = check.problem(server, nowMillis);
            if (problem.isDefined()) {
                return problem;
            }
        }
        return Option.none();
    }
}
