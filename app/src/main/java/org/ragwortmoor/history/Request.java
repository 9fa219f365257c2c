package org.ragwortmoor.history;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.ragwortmoor.coordination.engine.ReadLevel;

/**
 * What a caller sent.
 *
 * @param session name of the session; a session has one request at a time
 * @param process process or thread of the caller
 * @param proxy proxy to which the request was sent
 * @param kind kind of request
 * @param group group of the records
 * @param operations operations in order
 * @param key idempotency key; null for reads
 * @param repeatable whether the caller allowed a second execution
 * @param level level of a read; null for writes
 * @param maxAgeMillis accepted age of a read at level {@code AGE}, in milliseconds
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record Request(
        String session,
        String process,
        String proxy,
        RequestKind kind,
        String group,
        List<Access> operations,
        String key,
        boolean repeatable,
        ReadLevel level,
        long maxAgeMillis) {
    /** Copies the list. */
    public Request {
        operations = operations == null ? List.of() : List.copyOf(operations);
    }
}
