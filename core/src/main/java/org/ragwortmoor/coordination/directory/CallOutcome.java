package org.ragwortmoor.coordination.directory;

/** How a call to the platform ended. */
public enum CallOutcome {
    /** The platform carries the order out. */
    ACCEPTED,
    /** The token is too low or the server does not run. */
    REJECTED,
    /** There was no clear answer; the order may still be carried out. */
    UNKNOWN
}
