package org.ragwortmoor.coordination.consensus;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import java.util.concurrent.TimeUnit;

/**
 * Timing and size settings of a {@link ConsensusNode}; times are in nanoseconds, sizes in bytes.
 *
 * <p>The state dump contains the text of this record, so the names of its components must not
 * change.
 *
 * @param initialMembers addresses of the initial members by node id, identical on all of them;
 *     ignored once the log contains a configuration
 * @param heartbeat interval at which a leader sends a heartbeat to each member
 * @param electionMin minimum time without contact from a leader before a node starts a pre-vote; a
 *     voter refuses other candidates for this time after leader contact
 * @param electionMax maximum of the randomized election timeout
 * @param lease time, counted from the sending of messages that a majority has answered, for which
 *     the leader may rely on its leadership
 * @param batchBytes maximum payload of one append message; a larger single entry is sent alone
 * @param inflightBytes maximum payload sent to a member and not yet acknowledged
 * @param chunkBytes maximum snapshot data in one message
 * @param snapshotEntries number of applied entries after which a snapshot is taken
 * @param snapshotBytes payload size of applied entries after which a snapshot is taken
 * @param entryBytes maximum size of a command
 * @param uncommittedEntries maximum number of uncommitted entries on the leader
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

    private static final long DEFAULT_HEARTBEAT_MILLIS = 100;
    private static final long DEFAULT_ELECTION_TIMEOUT_MIN_MILLIS = 500;
    private static final long DEFAULT_ELECTION_TIMEOUT_MAX_MILLIS = 900;
    private static final long DEFAULT_LEASE_MILLIS = 400;
    private static final int DEFAULT_MAX_BATCH_BYTES = 256 << 10;
    private static final long DEFAULT_MAX_INFLIGHT_BYTES = 1L << 20;
    private static final int DEFAULT_SNAPSHOT_CHUNK_BYTES = 64 << 10;
    private static final long DEFAULT_SNAPSHOT_ENTRIES = 10_000;
    private static final long DEFAULT_SNAPSHOT_BYTES = 16L << 20;
    private static final int DEFAULT_MAX_ENTRY_BYTES = 4 << 20;
    private static final int DEFAULT_MAX_UNCOMMITTED_ENTRIES = 10_000;

    /** Validates the ranges. */
    public ConsensusSettings {
        // Voters refuse other candidates for electionMin after contact with the leader.
        // A shorter lease expires before a successor can be elected, with a margin for clock drift.
        if (lease >= electionMin) {
            throw new IllegalArgumentException(
                    "lease must be shorter than the minimum election timeout");
        }
        if (heartbeat <= 0 || heartbeat * 2 > lease) {
            throw new IllegalArgumentException(
                    "heartbeat interval must be positive and at most half of the lease");
        }
        if (electionMax <= electionMin) {
            throw new IllegalArgumentException(
                    "maximum election timeout must be greater than the minimum");
        }
        if (batchBytes < 1
                || inflightBytes < batchBytes
                || chunkBytes < 1
                || snapshotEntries < 1
                || snapshotBytes < 1
                || entryBytes < 1
                || uncommittedEntries < 1) {
            throw new IllegalArgumentException(
                    "sizes must be positive, and inflightBytes at least batchBytes");
        }
    }

    /** Returns the default settings, with which a failed leader is replaced within about 1 s. */
    public static ConsensusSettings defaults(java.util.Map<String, String> initialMembers) {
        return new ConsensusSettings(
                LinkedHashMap.ofAll(initialMembers),
                TimeUnit.MILLISECONDS.toNanos(DEFAULT_HEARTBEAT_MILLIS),
                TimeUnit.MILLISECONDS.toNanos(DEFAULT_ELECTION_TIMEOUT_MIN_MILLIS),
                TimeUnit.MILLISECONDS.toNanos(DEFAULT_ELECTION_TIMEOUT_MAX_MILLIS),
                TimeUnit.MILLISECONDS.toNanos(DEFAULT_LEASE_MILLIS),
                DEFAULT_MAX_BATCH_BYTES,
                DEFAULT_MAX_INFLIGHT_BYTES,
                DEFAULT_SNAPSHOT_CHUNK_BYTES,
                DEFAULT_SNAPSHOT_ENTRIES,
                DEFAULT_SNAPSHOT_BYTES,
                DEFAULT_MAX_ENTRY_BYTES,
                DEFAULT_MAX_UNCOMMITTED_ENTRIES);
    }

    /** Returns a copy with other times, in nanoseconds. */
    public ConsensusSettings withTimes(
            long newHeartbeatNanos,
            long newTimeoutMinNanos,
            long newTimeoutMaxNanos,
            long newLeaseNanos) {
        return new ConsensusSettings(
                initialMembers,
                newHeartbeatNanos,
                newTimeoutMinNanos,
                newTimeoutMaxNanos,
                newLeaseNanos,
                batchBytes,
                inflightBytes,
                chunkBytes,
                snapshotEntries,
                snapshotBytes,
                entryBytes,
                uncommittedEntries);
    }

    /** Returns a copy with another number of applied entries between snapshots. */
    public ConsensusSettings withSnapshotEntries(long newSnapshotEntries) {
        return new ConsensusSettings(
                initialMembers,
                heartbeat,
                electionMin,
                electionMax,
                lease,
                batchBytes,
                inflightBytes,
                chunkBytes,
                newSnapshotEntries,
                snapshotBytes,
                entryBytes,
                uncommittedEntries);
    }

    /** Returns a copy with other message sizes, in bytes. */
    public ConsensusSettings withMessageBytes(int newMaxBatchBytes, int newSnapshotChunkBytes) {
        return new ConsensusSettings(
                initialMembers,
                heartbeat,
                electionMin,
                electionMax,
                lease,
                newMaxBatchBytes,
                inflightBytes,
                newSnapshotChunkBytes,
                snapshotEntries,
                snapshotBytes,
                entryBytes,
                uncommittedEntries);
    }
}
