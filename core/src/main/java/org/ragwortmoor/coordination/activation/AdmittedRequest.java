package org.ragwortmoor.coordination.activation;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.ragwortmoor.state.endpoint.Operation;

/**
 * A request that the rules admitted and that has not been answered yet. Safe for concurrent use.
 */
public final class AdmittedRequest {
    private final long id;
    private final String group;
    private final List<Operation> operations;
    private final String principal;
    private final AtomicLong version;

    AdmittedRequest(
            long id, String group, List<Operation> operations, String principal, long version) {
        this.id = id;
        this.group = group;
        this.operations = List.copyOf(operations);
        this.principal = principal;
        this.version = new AtomicLong(version);
    }

    /** Returns the identifier of the request in its proxy. */
    public long id() {
        return id;
    }

    /** Returns the group that the request addresses. */
    public String group() {
        return group;
    }

    List<Operation> operations() {
        return operations;
    }

    String principal() {
        return principal;
    }

    /** Returns the newest version that is known to allow the request. */
    long version() {
        return version.get();
    }

    void allowedBy(long newer) {
        version.accumulateAndGet(newer, Math::max);
    }
}
