package org.ragwortmoor.coordination.consensus;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import java.util.concurrent.TimeUnit;

/**
 * Settings of a control process; times are in nanoseconds, sizes in bytes.
 *
 * @param initialMembers addresses of the first members by node id, equal on all of them; ignored
 *     once the log holds a configuration
 * @param heartbeat interval of a leader's messages to each member
 * @param electionMin shortest time without a leader before a node asks for votes
 * @param electionMax longest such time
 * @param lease time after a message was sent for which its answer proves leadership
 * @param batchBytes payload of one append message at most, unless a single entry is larger
 * @param inflightBytes payload sent to a member and not yet answered, at most
 * @param chunkBytes part of a snapshot in one message
 * @param snapshotEntries applied entries after which a snapshot is taken
 * @param snapshotBytes payload of applied entries after which a snapshot is taken
 * @param entryBytes largest accepted command
 * @param uncommittedEntries entries that may wait for a majority, at most
 */
public record ConsensusSettings(
        Map<String, String> initialMembers,
        long heartbeat,
        long electionMin,
        long electionMax,
        long lease,
        int batchBytes,
        long inflightBytes,
        int chunkBytes,
        long snapshotEntries,
        long snapshotBytes,
        int entryBytes,
        int uncommittedEntries) {

    /** Validates the ranges. */
    public ConsensusSettings {
        // A voter refuses other candidates for electionMin after it has heard the leader, so a
        // shorter lease ends before a successor can be elected, with room for clock drift.
        if (lease >= electionMin) {
            throw new IllegalArgumentException("lease must be shorter than electionMin");
        }
        if (heartbeat <= 0 || heartbeat * 2 > lease) {
            throw new IllegalArgumentException("heartbeat must be at most half of the lease");
        }
        if (electionMax <= electionMin) {
            throw new IllegalArgumentException("electionMax must be larger than electionMin");
        }
        if (batchBytes < 1
                || inflightBytes < batchBytes
                || chunkBytes < 1
                || snapshotEntries < 1
                || snapshotBytes < 1
                || entryBytes < 1
                || uncommittedEntries < 1) {
            throw new IllegalArgumentException("sizes must be positive and fit in each other");
        }
    }

    /**
     * Returns the defaults: a heartbeat of 100 ms, an election deadline of 500 to 900 ms and a
     * lease of 400 ms, so that a lost leader is replaced within about 1 s.
     */
    public static ConsensusSettings defaults(java.util.Map<String, String> initialMembers) {
        return new ConsensusSettings(
                LinkedHashMap.ofAll(initialMembers),
                TimeUnit.MILLISECONDS.toNanos(100),
                TimeUnit.MILLISECONDS.toNanos(500),
                TimeUnit.MILLISECONDS.toNanos(900),
                TimeUnit.MILLISECONDS.toNanos(400),
                256 << 10,
                1L << 20,
                64 << 10,
                10_000,
                16L << 20,
                4 << 20,
                10_000);
    }

    /** Returns these settings with other times, in nanoseconds. */
    public ConsensusSettings withTimes(long beat, long min, long max, long leaseNanos) {
        return new ConsensusSettings(
                initialMembers,
                beat,
                min,
                max,
                leaseNanos,
                batchBytes,
                inflightBytes,
                chunkBytes,
                snapshotEntries,
                snapshotBytes,
                entryBytes,
                uncommittedEntries);
    }

    /** Returns these settings with another number of entries between snapshots. */
    public ConsensusSettings withSnapshotEntries(long entries) {
        return new ConsensusSettings(
                initialMembers,
                heartbeat,
                electionMin,
                electionMax,
                lease,
                batchBytes,
                inflightBytes,
                chunkBytes,
                entries,
                snapshotBytes,
                entryBytes,
                uncommittedEntries);
    }

    /** Returns these settings with other message sizes. */
    public ConsensusSettings withMessageBytes(int batch, int chunk) {
        return new ConsensusSettings(
                initialMembers,
                heartbeat,
                electionMin,
                electionMax,
                lease,
                batch,
                inflightBytes,
                chunk,
                snapshotEntries,
                snapshotBytes,
                entryBytes,
                uncommittedEntries);
    }
}
