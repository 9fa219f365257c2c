package org.ragwortmoor.transport;

import com.google.protobuf.ByteString;
import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import org.ragwortmoor.protocol.PeerBody;

/**
 * The bounded send queue of one peer. A full queue evicts its oldest heartbeat, because a newer one
 * replaces it, or its oldest message if it holds no heartbeat. Thread-safe.
 */
final class PeerQueue {
    private final int capacity;
    private final Deque<Message> messages = new ArrayDeque<>();

    /** An encoded message. */
    record Message(Class<? extends PeerBody> kind, boolean heartbeat, ByteString frame) {}

    PeerQueue(int capacity) {
        this.capacity = capacity;
    }

    /** Adds a message and returns the number of messages evicted for it. */
    synchronized int offer(Message message) {
        int dropped = 0;
        if (messages.size() >= capacity) {
            evictOne();
            dropped++;
        }
        messages.add(message);
        return dropped;
    }

    /**
     * Adds a message for a peer that is not connected. A heartbeat replaces queued heartbeats of
     * the same kind. Returns the number of messages removed for it.
     */
    synchronized int offerWhileDisconnected(Message message) {
        int sizeBefore = messages.size();
        if (message.heartbeat()) {
            messages.removeIf(m -> m.kind() == message.kind());
        }
        return sizeBefore - messages.size() + offer(message);
    }

    synchronized Option<Message> poll() {
        return Option.of(messages.poll());
    }

    synchronized int size() {
        return messages.size();
    }

    private void evictOne() {
        for (Iterator<Message> i = messages.iterator(); i.hasNext(); ) {
            if (i.next().heartbeat()) {
                i.remove();
                return;
            }
        }
        messages.remove();
    }
}
