package org.ragwortmoor.state;

/** How a position relates to the log of an endpoint. */
public enum Lineage {
    /** The log has the entry at this position. */
    CONTAINED,
    /** The log does not have the entry yet and may still receive it. */
    NOT_YET,
    /** The log continued without the entry: it belonged to a suffix that a promotion discarded. */
    LOST
}
