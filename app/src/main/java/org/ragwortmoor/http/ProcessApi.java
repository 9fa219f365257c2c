package org.ragwortmoor.http;

/** What every process offers to operators. */
public interface ProcessApi {
    /** Returns whether the process wants new work; the balancer asks for it. */
    boolean ready();

    /** Returns a summary for operators, to be written as JSON. */
    Object status();

    /** Returns the full state of the process, to be written as JSON. */
    Object dump();

    /** Starts a planned stop: no new work, requests in flight run to their end, then exit. */
    void drain();

    /** Returns the metrics in the Prometheus text format. */
    String metrics();
}
