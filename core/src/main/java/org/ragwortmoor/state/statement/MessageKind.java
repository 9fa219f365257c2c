package org.ragwortmoor.state.statement;

import io.vavr.control.Option;

/** The kinds of messages, each with the number of fields that its last field does not include. */
public enum MessageKind {
    /** Opens a session: database or group, caller, and for servers the expected id. */
    CONNECT(3),
    /** Runs a statement: id, text. */
    QUERY(2),
    /** Ends the session. */
    RELEASE(0),
    /** The session takes the next statement: transaction state, log position. */
    READY(2),
    /** One row of a result. */
    ROW(1),
    /** A statement succeeded: signature. */
    COMPLETE(1),
    /** A statement or the session failed: code, text. */
    ERROR(2);

    private final int fields;

    MessageKind(int fields) {
        this.fields = fields;
    }

    /** Returns the largest number of fields. */
    public int fields() {
        return fields;
    }

    /** Returns the kind with this name. */
    public static Option<MessageKind> named(String name) {
        for (MessageKind kind : values()) {
            if (kind.name().equals(name)) {
                return Option.some(kind);
            }
        }
        return Option.none();
    }
}
