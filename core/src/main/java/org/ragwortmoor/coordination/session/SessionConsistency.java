package org.ragwortmoor.coordination.session;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.routes.Route;
import org.ragwortmoor.state.routes.RouteKind;

/** The log positions that the reads of a session must see. */
final class SessionConsistency {
    private Option<Position> lastCommit = Option.none();

    /** Returns the log position of the last commit of the session, if any. */
    Option<Position> lastCommit() {
        return lastCommit;
    }

    void setLastCommit(Option<Position> position) {
        lastCommit = position;
    }

    /**
     * Returns the log position that a read of the session must see; none if only the leader can
     * serve the read.
     */
    Option<Position> requiredPosition(ServerGroup group, Route route, long arrivedAt) {
        if (route.kind() == RouteKind.PRIMARY) {
            return Option.none();
        }
        long staleness = TimeUnit.MILLISECONDS.toNanos(route.maxStalenessMillis());
        Option<Position> bound = group.requiredPosition(arrivedAt - staleness);
        boolean ownWrites = route.kind() == RouteKind.READ_YOUR_WRITES;
        // Positions of different terms can be compared: whatever a higher term lacks of a lower one
        // was discarded by the promotion.
        return ownWrites
                ? bound.map(p -> lastCommit.filter(own -> own.compareTo(p) > 0).getOrElse(p))
                : bound;
    }

    /** Records the log position of a commit of the session. */
    void recordCommit(Position position) {
        lastCommit = Option.some(position);
    }

    /**
     * Records the log position that a read has seen. The leader of a later term has every surviving
     * commit of earlier terms, so its position replaces the last commit.
     */
    void recordRead(Position position, boolean onLeader) {
        if (onLeader && lastCommit.exists(own -> own.term() < position.term())) {
            lastCommit = Option.some(position);
        }
    }
}
