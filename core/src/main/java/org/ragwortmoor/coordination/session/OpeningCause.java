package org.ragwortmoor.coordination.session;

import java.util.Locale;

/** Why a connection to a server is opened. */
enum OpeningCause {
    /** A statement waits for it. */
    DEMAND,
    /** Too few connections are idle. */
    ADVANCE,
    /** The leader is probed and no connection to it is idle. */
    PROBE;

    /** Returns the name in logs and metrics. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
