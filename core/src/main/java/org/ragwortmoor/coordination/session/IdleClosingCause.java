package org.ragwortmoor.coordination.session;

import java.util.Locale;

/** Why an idle connection to a server is closed. */
enum IdleClosingCause {
    /** A statement of another workspace waits for a connection. */
    REPLACED("its place is used for another workspace"),
    /** It was idle for long, and enough others remain. */
    SURPLUS("surplus connection was idle"),
    /** Its workspace was removed from the configuration. */
    WORKSPACE_REMOVED("the workspace was removed");

    private final String reason;

    IdleClosingCause(String reason) {
        this.reason = reason;
    }

    /** Returns the reason in log lines. */
    String reason() {
        return reason;
    }

    /** Returns the name in metrics. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
