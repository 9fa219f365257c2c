package org.ragwortmoor.load;

import java.util.List;
import org.ragwortmoor.coordination.engine.ReadLevel;
import org.ragwortmoor.history.Access;
import org.ragwortmoor.history.RequestKind;

/**
 * A request that the generator planned.
 *
 * @param atNanos scheduled time after the start of the load, in nanoseconds
 * @param proxy number of the proxy, from 0
 * @param kind kind of request
 * @param group group
 * @param operations operations
 * @param key idempotency key; null for reads
 * @param level level of a read; null for writes
 * @param maxAgeMillis accepted age, in milliseconds; 0 without one
 * @param label work label
 * @param serviceMicros length of the statement, in microseconds
 */
public record PlannedRequest(
        long atNanos,
        int proxy,
        RequestKind kind,
        String group,
        List<Access> operations,
        String key,
        ReadLevel level,
        long maxAgeMillis,
        String label,
        long serviceMicros) {
    /** Copies the list. */
    public PlannedRequest {
        operations = List.copyOf(operations);
    }
}
