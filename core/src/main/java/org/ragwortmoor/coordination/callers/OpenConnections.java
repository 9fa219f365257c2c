package org.ragwortmoor.coordination.callers;

import io.vavr.control.Option;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Decides which connections of an address are closed, so that they do not exhaust the memory and
 * the descriptors of a process. Confined to one thread.
 *
 * <p>A new connection displaces the one that has been without a complete request for longest, so
 * that a crowd of silent connections does not keep others out. Beyond the limit of bytes, the
 * connection that holds most is closed.
 *
 * @param <T> a connection
 */
public final class OpenConnections<T> {
    private static final Comparator<Held> LARGER = Comparator.comparingLong(Held::bytes);

    private final int maxConnections;
    private final long maxBytes;
    private final Map<T, Held> heldByConnection = new HashMap<>();
    private long totalBytes;

    /** The connections in the order of their last requests; a look-up moves one to the end. */
    private final Map<T, T> byLastRequest = new LinkedHashMap<>(16, 0.75f, true);

    /** What one connection holds; changed in place, so that a frame costs no allocation. */
    private static final class Held {
        private long bytes;

        long bytes() {
            return bytes;
        }
    }

    /** Creates a set of connections without members. */
    public OpenConnections(int maxConnections, long maxBytes) {
        this.maxConnections = maxConnections;
        this.maxBytes = maxBytes;
    }

    /** Adds a connection; returns the one that must be closed, if any. */
    public Option<T> open(T connection) {
        Option<T> displaced =
                Option.when(
                        byLastRequest.size() >= maxConnections,
                        () -> byLastRequest.keySet().iterator().next());
        displaced.forEach(this::remove);
        byLastRequest.put(connection, connection);
        heldByConnection.put(connection, new Held());
        return displaced;
    }

    /** Records a complete request of a connection. */
    public void requested(T connection) {
        byLastRequest.get(connection);
    }

    /** Records what a connection holds; returns the one that must be closed, if any. */
    public Option<T> hold(T connection, long bytes) {
        Held held = heldByConnection.get(connection);
        if (held == null) {
            return Option.none();
        }
        totalBytes += bytes - held.bytes;
        held.bytes = bytes;
        if (totalBytes <= maxBytes) {
            return Option.none();
        }
        Option<T> largest =
                Option.ofOptional(
                        heldByConnection.entrySet().stream()
                                .max(Map.Entry.comparingByValue(LARGER))
                                .map(Map.Entry::getKey));
        largest.forEach(this::remove);
        return largest;
    }

    /** Removes a connection that has ended. */
    public void remove(T connection) {
        byLastRequest.remove(connection);
        Held held = heldByConnection.remove(connection);
        totalBytes -= held == null ? 0 : held.bytes;
    }

    /** Returns the number of connections. */
    public int size() {
        return byLastRequest.size();
    }
}
