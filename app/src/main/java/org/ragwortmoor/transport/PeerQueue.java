package org.ragwortmoor.transport;

import com.google.protobuf.ByteString;
import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import org.ragwortmoor.protocol.PeerBody;

/**
 * Messages that wait for one peer. When the queue is full, the oldest heartbeat makes room, because
 * a newer one replaces it, and without a heartbeat the oldest message does. Thread safe.
 */
final class PeerQueue {
    private final int limit;
    private final Deque<Message> messages = new ArrayDeque<>();

    /** An encoded message. */
    record Message(Class<? extends PeerBody> kind, boolean heartbeat, ByteString frame) {}

    PeerQueue(int limit) {
        this.limit = limit;
    }

    /** Adds a message and returns the number of messages that were dropped for it. */
    synchronized int offer(Message message) {
        int dropped = 0;
        if (messages.size() >= limit) {
            dropOldest();
            dropped++;
        }
        messages.add(message);
        return dropped;
    }

    /**
     * Adds a message for a peer that cannot be reached now: of each kind of heartbeat, only the
     * newest one waits. Returns the number of messages that were dropped for it.
     */
    synchronized int offerReplacing(Message message) {
        int before = messages.size();
        if (message.heartbeat()) {
            messages.removeIf(m -> m.kind() == message.kind());
        }
        return before - messages.size() + offer(message);
    }

    synchronized Option<Message> poll() {
        return Option.of(messages.poll());
    }

    synchronized int size() {
        return messages.size();
    }

    private void dropOldest() {
        for (Iterator<Message> i = messages.iterator(); i.hasNext(); ) {
            if (i.next().heartbeat()) {
                i.remove();
                return;
            }
        }
        messages.remove();
    }
}
