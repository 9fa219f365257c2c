package org.ragwortmoor.state.directory;

/** Decides which of two records about servers is newer. */
final class ServerSuccession {
    private ServerSuccession() {}

    /** Returns whether an announcement changes what is known of the same server id. */
    static boolean replaces(ServerRecord announced, ServerRecord known) {
        if (announced.bornAtMillis() != known.bornAtMillis()) {
            return announced.bornAtMillis() > known.bornAtMillis();
        }
        // One incarnation never comes back from leaving.
        boolean returns = announced.state().compareTo(known.state()) < 0;
        return !returns && !announced.sameAs(known);
    }

    /** Returns the other record after a server was announced at an address. */
    static ServerRecord displaced(ServerRecord other, ServerRecord announced, long index) {
        boolean sameAddress = other.address().equals(announced.address());
        boolean younger = announced.bornAtMillis() > other.bornAtMillis();
        return sameAddress && younger && other.state() != ServerState.GONE
                ? other.withState(ServerState.GONE).changedAt(index)
                : other;
    }
}
