package org.ragwortmoor.state.directory;

/** The lifecycle states that a server announces. */
public enum ServerState {
    /** The server accepts new work. */
    READY,
    /** The server finishes its current work and accepts no new work. */
    DRAINING,
    /** The server has ended, or a server that started later has taken its address. */
    GONE
}
