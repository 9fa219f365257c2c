package org.ragwortmoor.coordination.engine;

/** How current a read must be. */
public enum ReadLevel {
    /** Sees every write acknowledged before the read was sent. */
    STRONG,
    /** Sees the session's own writes and everything that it has read before. */
    SESSION,
    /** As {@link #SESSION}, and no older than the stated age. */
    AGE
}
