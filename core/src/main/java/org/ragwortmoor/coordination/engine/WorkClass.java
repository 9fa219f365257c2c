package org.ragwortmoor.coordination.engine;

/** Class of work by expected service time. */
enum WorkClass {
    SHORT,
    LONG
}
