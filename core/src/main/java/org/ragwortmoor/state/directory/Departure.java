package org.ragwortmoor.state.directory;

/**
 * The end of an incarnation of a server of a group with synchronous replicas. Until other servers
 * are known to hold its commits, it counts as one that may hold an acknowledged commit.
 *
 * @param server id of the server
 * @param startedAtMillis start time of the incarnation that has ended, in milliseconds since the
 *     epoch
 * @param address address of the server; a server that starts there later receives its log
 * @param index log index at which the end was recorded
 */
public record Departure(String server, long startedAtMillis, String address, long index) {}
