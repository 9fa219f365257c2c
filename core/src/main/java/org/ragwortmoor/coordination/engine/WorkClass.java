package org.ragwortmoor.coordination.engine;

/** Class of work by service time. */
enum WorkClass {
    SHORT,
    LONG
}
