package org.ragwortmoor.coordination.directory;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.DirectoryState;
import org.ragwortmoor.state.routes.GroupLimits;

/**
 * Decides on promotions while the process leads the control group. An order is committed to the
 * replicated log before the platform is called, and its log index is the fencing token: tokens rise
 * with every order, whoever leads, and no two orders share one.
 */
public final class FailoverCoordinator {
    private final Map<String, GroupFailover> groups = new LinkedHashMap<>();

    /** Forgets what an earlier leadership has begun. */
    public void restart(long now) {
        groups.values().forEach(g -> g.restart(now));
    }

    /** Notes what a proxy saw of a primary; {@code silent} is in nanoseconds. */
    public void observed(
            String proxy, String group, String server, long silent, boolean refused, long now) {
        group(group).evidence().reported(proxy, server, silent, refused, now);
    }

    /** Notes the log position of a replica. */
    public void surveyed(String group, String server, Position position) {
        group(group).surveyed(server, position);
    }

    /** Notes the last log position of a primary that has stopped leading. */
    public void steppedDown(String group, String server, Position position) {
        group(group).steppedDown(server, position);
    }

    /** Notes a committed order of this process. */
    public List<FailoverAction> ordered(String group, String server, long token, long now) {
        return group(group).ordered(server, token, now);
    }

    /** Notes the platform's answer. */
    public void answered(String group, long token, CallOutcome outcome, long now) {
        group(group).answered(token, outcome, now);
    }

    /** Returns what is due. */
    public List<FailoverAction> tick(DirectoryState state, long now) {
        List<FailoverAction> actions = new ArrayList<>();
        for (GroupLimits limits : state.routes().groups()) {
            actions.addAll(group(limits.name()).tick(state, limits.syncReplicas(), now));
        }
        return actions;
    }

    /** Returns a line for each group, for the state dump. */
    public List<String> describe() {
        return groups.values().stream().map(GroupFailover::describe).toList();
    }

    private GroupFailover group(String name) {
        return Option.of(groups.get(name))
                .getOrElse(() -> groups.computeIfAbsent(name, GroupFailover::new));
    }
}
