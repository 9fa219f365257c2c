package org.ragwortmoor.coordination.activation;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.ragwortmoor.state.endpoint.Operation;

/**
 * The requests in flight and the rules version that allows each. Safe for concurrent use.
 *
 * <p>A proxy reports a version as applied only when every request in flight is allowed by it or a
 * later one. Otherwise a write that waits in a queue could change a partner's record after the
 * version that forbids it was reported to be in force, and the hand-back would miss the change.
 *
 * <p>A new version, or the end of the lease, decides on the requests in flight again. Those that
 * stay allowed do not delay the version, however long they run; the others are revoked.
 */
public final class AdmittedRequests {
    private final RulesGate gate;
    private final Set<AdmittedRequest> inFlight = ConcurrentHashMap.newKeySet();

    /**
     * Creates an empty table.
     *
     * @param gate the rules that decide
     */
    public AdmittedRequests(RulesGate gate) {
        this.gate = gate;
    }

    /**
     * A request that was admitted and is refused now.
     *
     * @param decision why it is refused
     */
    public record Revocation(AdmittedRequest request, GateDecision decision) {}

    /** Registers a request; call it before the request is decided on. */
    public AdmittedRequest enter(
            long id, String group, List<Operation> operations, String principal) {
        AdmittedRequest request =
                new AdmittedRequest(id, group, operations, principal, gate.version());
        inFlight.add(request);
        return request;
    }

    /** Removes a request that was answered or refused. */
    public void exit(AdmittedRequest request) {
        inFlight.remove(request);
    }

    /** Returns the version that the proxy may report as applied. */
    public long applied() {
        // The active version is read first: a request that enters later has at least this one.
        long applied = gate.version();
        for (AdmittedRequest request : inFlight) {
            applied = Math.min(applied, request.version());
        }
        return applied;
    }

    /**
     * Decides again on the requests in flight that the active version has not decided on, and on
     * all of them once the lease has ended.
     *
     * @param now current time in nanoseconds of the lease's clock
     * @return requests that must not run; they are returned again until they have left
     */
    public List<Revocation> review(long now) {
        boolean leaseValid = gate.current(now);
        long active = gate.version();
        List<Revocation> revoked = new ArrayList<>();
        for (AdmittedRequest request : inFlight) {
            if (!leaseValid || request.version() < active) {
                review(request, now).forEach(revoked::add);
            }
        }
        return revoked;
    }

    /** Decides on one request as {@link #review(long)} does. */
    public Option<Revocation> review(AdmittedRequest request, long now) {
        // Read before the decisions, which may already be those of a newer version.
        long version = gate.version();
        for (Operation operation : request.operations()) {
            GateDecision decision =
                    gate.decide(request.group(), operation, request.principal(), now);
            if (!decision.allowed()) {
                return Option.of(new Revocation(request, decision));
            }
        }
        request.allowedBy(version);
        return Option.none();
    }
}
