package org.ragwortmoor.standin;

import java.util.List;

/** Switches one fault of a stand-in on or off. */
public sealed interface FaultSwitch {
    /**
     * Makes open connections silent for good: their frames are dropped, TCP stays open.
     *
     * @param client client name in {@code Hello}; empty for any
     * @param count largest number of connections, the oldest first
     */
    record SilenceConnections(String client, int count) implements FaultSwitch {}

    /** Drops all frames on accepted connections, present and new ones. */
    record SilenceAll(boolean on) implements FaultSwitch {}

    /** Closes new connections at their first frame. */
    record RefuseConnections(boolean on) implements FaultSwitch {}

    /** Delays each frame in each direction by this much more, in microseconds. */
    record ExtraDelay(long micros) implements FaultSwitch {}

    /**
     * Holds answers to statements back until the next statement of the same connection has been
     * answered.
     *
     * @param count number of answers to hold back
     * @param holdMicros longest time to hold one back, in microseconds
     */
    record CrossAnswers(int count, long holdMicros) implements FaultSwitch {}

    /** Sends the next {@code count} answers to statements twice. */
    record DuplicateAnswers(int count) implements FaultSwitch {}

    /**
     * Drops the frames from and to some peers; replaces an earlier cut.
     *
     * @param peers IP numbers, addresses (IP number and port), client names, or {@code *} for all
     *     peers; empty to end the cut
     * @param direction direction that is cut, seen from the stand-in
     */
    record CutOff(List<String> peers, Direction direction) implements FaultSwitch {
        /** Copies the list. */
        public CutOff {
            peers = List.copyOf(peers);
        }
    }

    /** Stops fetching from the primary. */
    record StopReplication(boolean on) implements FaultSwitch {}

    /** Announces that the endpoint is leaving. */
    record Leaving(boolean on) implements FaultSwitch {}

    /** Sets the time before a replica applies what it fetched, in microseconds. */
    record ReplicationLag(long micros) implements FaultSwitch {}

    /** Ends all faults; connections that lost a frame stay silent. */
    record Clear() implements FaultSwitch {}

    /** Directions of frames, seen from the stand-in. */
    enum Direction {
        /** Both directions. */
        BOTH,
        /** Towards the stand-in. */
        INBOUND,
        /** Away from the stand-in. */
        OUTBOUND;

        boolean includes(Direction other) {
            return this == BOTH || this == other;
        }
    }
}
