package org.ragwortmoor.coordination.session;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** The sessions whose CONNECT waits until the directory is known. */
final class PendingHandshakes {
    private final SessionHost host;
    private final Set<CallerSession> waiting = new LinkedHashSet<>();

    PendingHandshakes(SessionHost host) {
        this.host = host;
    }

    /** Answers CONNECT once the directory is known, or after a time limit. */
    void add(CallerSession session) {
        waiting.add(session);
        host.schedule(
                host.now() + SessionSettings.ROUTES_TIMEOUT_NANOS,
                () -> {
                    if (waiting.remove(session)) {
                        session.completeHandshake(false);
                    }
                });
    }

    /** Answers the sessions that need not wait any longer; to be called after each change. */
    void retry() {
        for (CallerSession session : List.copyOf(waiting)) {
            if (session.completeHandshake(true)) {
                waiting.remove(session);
            }
        }
    }

    void remove(CallerSession session) {
        waiting.remove(session);
    }
}
