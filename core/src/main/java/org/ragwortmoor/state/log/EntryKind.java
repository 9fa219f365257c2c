package org.ragwortmoor.state.log;

/** The kind of a log entry. */
public enum EntryKind {
    /** An empty entry; a new leader appends it so that it can commit an entry of its own term. */
    NOOP,
    /** A command of the replicated state machine. */
    COMMAND,
    /** A {@link Configuration}, which takes effect as soon as it is appended. */
    CONFIGURATION
}
