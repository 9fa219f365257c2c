package org.ragwortmoor.state;

/** Whether the log of an endpoint contains a position. */
public enum Lineage {
    /** The log contains the entry at this position. */
    CONTAINED,
    /** The log does not contain the entry yet and may still receive it. */
    NOT_YET,
    /** The log contains other entries instead: a promotion discarded the suffix with this entry. */
    LOST
}
