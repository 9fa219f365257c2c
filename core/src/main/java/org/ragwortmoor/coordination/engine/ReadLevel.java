package org.ragwortmoor.coordination.engine;

/** Consistency level of a read. */
public enum ReadLevel {
    /** Linearizable: sees every write acknowledged before the read was sent. */
    STRONG,
    /** Session consistency: sees the session's own writes and everything that it has read. */
    SESSION,
    /** Bounded staleness: as {@link #SESSION}, and not older than the accepted age. */
    AGE
}
