package org.ragwortmoor.coordination.activation;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.ragwortmoor.state.endpoint.Operation;

/** A request that the rules admitted and that has not been answered. Thread-safe. */
public final class AdmittedRequest {
    private final long id;
    private final String group;
    private final List<Operation> operations;
    private final String principal;
    private final AtomicLong allowedByVersion;

    AdmittedRequest(
            long id, String group, List<Operation> operations, String principal, long version) {
        this.id = id;
        this.group = group;
        this.operations = List.copyOf(operations);
        this.principal = principal;
        this.allowedByVersion = new AtomicLong(version);
    }

    /** Returns the identifier of the request, unique within its proxy. */
    public long id() {
        return id;
    }

    /** Returns the group to which the request is addressed. */
    public String group() {
        return group;
    }

    List<Operation> operations() {
        return operations;
    }

    String principal() {
        return principal;
    }

    /** Returns the newest rules version known to allow the request. */
    long allowedByVersion() {
        return allowedByVersion.get();
    }

    void recordAllowedBy(long newer) {
        allowedByVersion.accumulateAndGet(newer, Math::max);
    }
}
