package org.ragwortmoor.coordination.balancing;

/** A server as seen by one proxy. */
public interface ServerLoad {
    /** Returns the number of statements that the server executes concurrently. */
    int slots();

    /** Returns the number of connections on which this proxy has work in progress. */
    int inUse();

    /** Returns what the answers of the server have shown. */
    AnswerFigures figures();
}
