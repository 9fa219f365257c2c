package org.ragwortmoor.transport;

import java.util.LinkedHashSet;
import java.util.Set;
import org.ragwortmoor.coordination.callers.CallerBudget;
import org.ragwortmoor.coordination.callers.CallerLimits;
import org.ragwortmoor.coordination.callers.CloseReason;

/** Applies the limits on callers to their connections. Confined to one event loop. */
public final class CallerGuard {
    private static final String INTERFACE_NAME = "statement";

    private final CallerBudget budget;
    private final LimitListener listener;
    private final Set<CallerConnection> connections = new LinkedHashSet<>();

    /** Creates a guard without connections. */
    public CallerGuard(CallerLimits limits, LimitListener listener) {
        this.budget = new CallerBudget(limits);
        this.listener = listener;
    }

    /** Closes sessions that have stopped or hold too much; to be called periodically. */
    public void tick() {
        long now = System.nanoTime();
        connections.forEach(CallerConnection::measureUnread);
        budget.tick(now);
    }

    /** Returns the decisions, for metrics and the state dump. */
    public CallerBudget budget() {
        return budget;
    }

    void opened(CallerConnection connection) {
        connections.add(connection);
    }

    void ended(CallerConnection connection) {
        connections.remove(connection);
    }

    void paused() {
        listener.paused(INTERFACE_NAME);
    }

    void closed(CallerConnection connection, CloseReason reason) {
        listener.closed(connection.peer(), INTERFACE_NAME, reason.label());
    }
}
