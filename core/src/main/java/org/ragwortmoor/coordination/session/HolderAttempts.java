package org.ragwortmoor.coordination.session;

import java.util.HashSet;
import java.util.Set;

/** The proxies that have not executed a statement, and what its execution needs. */
final class HolderAttempts {
    private final String workspace;
    private final ConnectionRequest.Target target;
    private final Set<String> declined = new HashSet<>();
    private final Set<String> usedUp = new HashSet<>();

    /**
     * Creates the attempts of a statement that no proxy has received.
     *
     * @param workspace workspace of the caller; empty if it has none
     * @param target servers that can execute the statement
     */
    HolderAttempts(String workspace, ConnectionRequest.Target target) {
        this.workspace = workspace;
        this.target = target;
    }

    String workspace() {
        return workspace;
    }

    ConnectionRequest.Target target() {
        return target;
    }

    boolean none() {
        return declined.isEmpty() && usedUp.isEmpty();
    }

    /** Records that a proxy has declined the statement or has not answered. */
    void recordDeclined(String proxy) {
        declined.add(proxy);
    }

    boolean declined(String proxy) {
        return declined.contains(proxy);
    }

    /** Records that a proxy has declined the statement because its connections are used up. */
    void recordUsedUp(String proxy) {
        usedUp.add(proxy);
    }

    boolean usedUp(String proxy) {
        return usedUp.contains(proxy);
    }
}
