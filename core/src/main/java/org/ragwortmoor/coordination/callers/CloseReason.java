package org.ragwortmoor.coordination.callers;

import java.util.Locale;

/** The limit because of which a session is refused or closed. */
public enum CloseReason {
    /** The proxy has as many sessions as it may have. */
    SESSIONS("the limit of sessions of this proxy is reached"),
    /** Other connections arrived while this one had not sent CONNECT. */
    UNCONNECTED("the limit of sessions without CONNECT is reached"),
    /** CONNECT did not arrive in time. */
    CONNECT_TIMEOUT("CONNECT was not sent within the limit of time"),
    /** A message stopped half-way. */
    MESSAGE_PROGRESS("a message did not progress within the limit of time"),
    /** An answer was not read. */
    ANSWER_PROGRESS("an answer was not read within the limit of time"),
    /** The sessions hold too much memory, and this one holds most of it. */
    TOTAL_BYTES("the limit of bytes of all sessions is reached");

    private final String text;

    CloseReason(String text) {
        this.text = text;
    }

    /** Returns the text for the caller. */
    public String text() {
        return text;
    }

    /** Returns the value of the label in metrics and log lines. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
