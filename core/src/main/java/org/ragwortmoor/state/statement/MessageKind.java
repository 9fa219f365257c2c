package org.ragwortmoor.state.statement;

import io.vavr.control.Option;

/** The kinds of messages, each with its maximum number of fields. */
public enum MessageKind {
    /** Opens a session. Fields: database or group, caller and, for servers, the expected id. */
    CONNECT(3),
    /** Runs a statement. Fields: id, text. */
    QUERY(2),
    /** Ends the session. */
    RELEASE(0),
    /** The session accepts the next statement. Fields: transaction state, log position. */
    READY(2),
    /** One row of a result. Field: the row. */
    ROW(1),
    /** A statement succeeded. Field: signature. */
    COMPLETE(1),
    /** A statement or the session failed. Fields: code, text. */
    ERROR(2);

    private final int fields;

    MessageKind(int fields) {
        this.fields = fields;
    }

    /** Returns the maximum number of fields; the last one extends to the end of the message. */
    public int fields() {
        return fields;
    }

    /** Returns the kind with this name, if there is one. */
    public static Option<MessageKind> fromName(String name) {
        for (MessageKind kind : values()) {
            if (kind.name().equals(name)) {
                return Option.some(kind);
            }
        }
        return Option.none();
    }
}
