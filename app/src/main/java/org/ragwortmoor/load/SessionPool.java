package org.ragwortmoor.load;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Idle sessions, used in turn. If all are busy, a further one is made, so that the load stays open.
 * Confined to the loop of the callers.
 */
final class SessionPool {
    private final String prefix;
    private final Deque<LoadSession> idle = new ArrayDeque<>();
    private int made;

    SessionPool(String prefix, int sessions) {
        this.prefix = prefix;
        for (int i = 0; i < sessions; i++) {
            idle.add(make());
        }
    }

    private LoadSession make() {
        made++;
        return new LoadSession(prefix + "-s" + made);
    }

    LoadSession take() {
        LoadSession session = idle.pollFirst();
        return session == null ? make() : session;
    }

    void giveBack(LoadSession session) {
        idle.addLast(session);
    }

    /** Replaces a session whose token no proxy accepts any more. */
    void replace() {
        idle.addLast(make());
    }

    int made() {
        return made;
    }
}
