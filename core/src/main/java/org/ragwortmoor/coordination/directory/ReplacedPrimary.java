package org.ragwortmoor.coordination.directory;

import io.vavr.control.Option;
import java.util.List;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.directory.ServerRecord;
import org.ragwortmoor.state.directory.ServerState;

/** The primary that a failover replaces, if it knows one, and whether it is still in use. */
final class ReplacedPrimary {
    private final Option<ServerRecord> server;
    private Option<Position> steppedDownAt = Option.none();
    private long nextStepDownAt;

    ReplacedPrimary(Option<ServerRecord> server, long now) {
        this.server = server;
        this.nextStepDownAt = now;
    }

    Option<ServerRecord> server() {
        return server;
    }

    boolean is(String id) {
        return server.exists(s -> s.id().equals(id));
    }

    /** Returns whether the primary has announced that it leaves. */
    boolean leaves() {
        return server.exists(s -> s.state() == ServerState.DRAINING);
    }

    /** Returns the last position of the primary, if it has stepped down. */
    Option<Position> steppedDownAt() {
        return steppedDownAt;
    }

    void recordStepDown(Position position) {
        steppedDownAt = Option.some(position);
    }

    /** Returns the instruction to step down, if it is due. */
    List<FailoverAction> stepDown(long now) {
        if (server.isEmpty() || steppedDownAt.isDefined() || now - nextStepDownAt < 0) {
            return List.of();
        }
        nextStepDownAt = now + FailoverSettings.SURVEY_INTERVAL_NANOS;
        return List.of(new FailoverAction.StepDown(server.get()));
    }

    /** Returns whether a proxy may still acknowledge commits of the primary. */
    boolean mayBeInUse(FailoverView view, long now) {
        // A primary that has restarted since it stepped down may lead again.
        boolean sameIncarnation =
                server.exists(
                        replaced ->
                                view.state()
                                        .servers()
                                        .get(replaced.id())
                                        .exists(
                                                s ->
                                                        s.startedAtMillis()
                                                                == replaced.startedAtMillis()));
        boolean steppedDown = steppedDownAt.isDefined() && sameIncarnation;
        return !steppedDown && view.leases().outstanding(view.group(), now);
    }

    /** Returns whether a primary that was lost stays in place, since most proxies reach one. */
    boolean reachableAgain(FailoverView view, long now) {
        return !leaves()
                && view.state().primary(view.group()).isDefined()
                && steppedDownAt.isEmpty()
                && view.majorityReachesLeader(now);
    }
}
