package org.ragwortmoor.state.log;

/** What a log entry contains. */
public enum EntryKind {
    /** Nothing; a leader writes it so that an entry of its own term can commit. */
    NOOP,
    /** A command of the replicated state machine. */
    COMMAND,
    /** A {@link Configuration}, in force from the moment it is appended. */
    CONFIGURATION
}
