package org.ragwortmoor.coordination.consensus;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.List;
import org.ragwortmoor.state.log.LogEntry;
import org.ragwortmoor.state.log.MemberId;
import org.ragwortmoor.state.log.Snapshot;

/** Replication progress of one member, as known to the leader. */
final class Progress {
    final MemberId id;
    private final ArrayDeque<Batch> inflight = new ArrayDeque<>();
    private long inflightBytes;
    long matchIndex;
    long nextIndex;
    // While the matching position of the member's log is unknown, only one append request at a
    // time is sent.
    boolean probing = true;
    boolean probeSent;
    // Send time of the newest answered message; before the first answer, a time at which the lease
    // has already expired.
    long contactAt;
    private boolean answered;
    Option<SnapshotTransfer> snapshotTransfer = Option.none();

    private record Batch(long lastIndex, long bytes) {}

    /**
     * A snapshot transfer in progress.
     *
     * @param offset byte offset of the current chunk
     * @param sentAt time at which the current chunk was last sent
     */
    record SnapshotTransfer(Snapshot snapshot, long offset, long sentAt) {}

    Progress(MemberId id, long nextIndex, long contactAt) {
        this.id = id;
        this.nextIndex = nextIndex;
        this.contactAt = contactAt;
    }

    boolean hasInflightCapacity(long limit) {
        return inflightBytes < limit;
    }

    void onSent(List<LogEntry> entries) {
        if (entries.isEmpty()) {
            return;
        }
        long bytes = entries.stream().mapToLong(e -> e.payload().size()).sum();
        long last = entries.get(entries.size() - 1).index();
        inflight.add(new Batch(last, bytes));
        inflightBytes += bytes;
        nextIndex = last + 1;
    }

    void onMatched(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        probing = false;
        probeSent = false;
        while (!inflight.isEmpty() && inflight.peek().lastIndex() <= matchIndex) {
            inflightBytes -= inflight.remove().bytes();
        }
    }

    void startProbing(long index) {
        nextIndex = Math.max(matchIndex + 1, index);
        probing = true;
        probeSent = false;
        inflight.clear();
        inflightBytes = 0;
    }

    /** Returns the send time of the newest answered message, if any was answered. */
    Option<Long> lastContactAt() {
        return answered ? Option.some(contactAt) : Option.none();
    }

    void onContact(long sentAt) {
        answered = true;
        if (sentAt - contactAt > 0) {
            contactAt = sentAt;
        }
    }
}
