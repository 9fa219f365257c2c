package org.ragwortmoor.history;

/** What a caller was told about a request. */
public enum Outcome {
    /** The request was executed. */
    DONE,
    /** The request had no effect and never will. */
    NOT_RUN,
    /** Nothing certain was said, or no answer arrived. */
    UNKNOWN
}
