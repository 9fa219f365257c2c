package org.ragwortmoor.coordination.consensus;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.List;
import org.ragwortmoor.state.log.LogEntry;
import org.ragwortmoor.state.log.MemberId;
import org.ragwortmoor.state.log.Snapshot;

/** What a leader knows of one member's log. */
final class Progress {
    final MemberId id;
    private final ArrayDeque<Batch> inflight = new ArrayDeque<>();
    private long inflightBytes;
    long matchIndex;
    long nextIndex;
    // While the member's log is unknown, one message at a time is sent.
    boolean probing = true;
    boolean probeSent;
    // Before the first answer, a time at which the lease is not valid.
    long contactAt;
    private boolean answered;
    Option<Transfer> transfer = Option.none();

    private record Batch(long lastIndex, long bytes) {}

    /**
     * A snapshot on its way.
     *
     * @param offset offset of the part that is sent or to be sent
     * @param sentAt time at which the part was sent last
     */
    record Transfer(Snapshot snapshot, long offset, long sentAt) {}

    Progress(MemberId id, long nextIndex, long contactAt) {
        this.id = id;
        this.nextIndex = nextIndex;
        this.contactAt = contactAt;
    }

    boolean hasRoom(long limit) {
        return inflightBytes < limit;
    }

    void sent(List<LogEntry> entries) {
        if (entries.isEmpty()) {
            return;
        }
        long bytes = entries.stream().mapToLong(e -> e.payload().size()).sum();
        long last = entries.get(entries.size() - 1).index();
        inflight.add(new Batch(last, bytes));
        inflightBytes += bytes;
        nextIndex = last + 1;
    }

    void matched(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        probing = false;
        probeSent = false;
        while (!inflight.isEmpty() && inflight.peek().lastIndex() <= matchIndex) {
            inflightBytes -= inflight.remove().bytes();
        }
    }

    void probeFrom(long index) {
        nextIndex = Math.max(matchIndex + 1, index);
        probing = true;
        probeSent = false;
        inflight.clear();
        inflightBytes = 0;
    }

    /** Returns when the newest answered message was sent; none if no message was answered. */
    Option<Long> answeredContact() {
        return answered ? Option.some(contactAt) : Option.none();
    }

    void contact(long sentAt) {
        answered = true;
        if (sentAt - contactAt > 0) {
            contactAt = sentAt;
        }
    }
}
