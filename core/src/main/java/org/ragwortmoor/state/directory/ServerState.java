package org.ragwortmoor.state.directory;

/** The life of a server as it announces it. */
public enum ServerState {
    /** The server takes work. */
    READY,
    /** The server finishes what it has and takes no new work. */
    DRAINING,
    /** The server has ended, or its address belongs to a younger one. */
    GONE
}
