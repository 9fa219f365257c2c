package org.ragwortmoor.state.directory;

/** Decides which of two server records takes precedence. */
final class ServerPrecedence {
    private ServerPrecedence() {}

    /** Returns whether an announcement replaces the known record of the same server id. */
    static boolean replaces(ServerRecord announced, ServerRecord known) {
        if (announced.startedAtMillis() != known.startedAtMillis()) {
            return announced.startedAtMillis() > known.startedAtMillis();
        }
        // The state of one incarnation never goes backwards, so such an announcement is late.
        boolean outdated = announced.state().compareTo(known.state()) < 0;
        return !outdated && !announced.sameAs(known);
    }

    /**
     * Returns {@code other} after {@code announced} was stored: it is gone if the announced server
     * has the same address and started later.
     */
    static ServerRecord afterAnnouncement(ServerRecord other, ServerRecord announced, long index) {
        boolean sameAddress = other.address().equals(announced.address());
        boolean startedLater = announced.startedAtMillis() > other.startedAtMillis();
        return sameAddress && startedLater && other.state() != ServerState.GONE
                ? other.withState(ServerState.GONE).changedAt(index)
                : other;
    }
}
