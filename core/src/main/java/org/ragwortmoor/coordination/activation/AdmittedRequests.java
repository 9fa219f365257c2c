package org.ragwortmoor.coordination.activation;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.ragwortmoor.state.endpoint.Operation;

/**
 * The requests in flight, each with the newest rules version known to allow it. Thread-safe.
 *
 * <p>A proxy reports a version as applied only once every request in flight is allowed by that
 * version or a later one. Otherwise a queued write could change a partner's record after the
 * version that forbids it was reported as in force, and the hand-back would miss the change.
 *
 * <p>When a new version becomes active or the lease ends, the requests in flight are evaluated
 * again. Requests that are still allowed do not delay the version, however long they run; the
 * others are revoked.
 */
public final class AdmittedRequests {
    private final RulesGate gate;
    private final Set<AdmittedRequest> inFlight = ConcurrentHashMap.newKeySet();

    /**
     * Creates an empty table.
     *
     * @param gate evaluates the rules
     */
    public AdmittedRequests(RulesGate gate) {
        this.gate = gate;
    }

    /**
     * A request that was admitted and is no longer allowed.
     *
     * @param decision the refusal
     */
    public record Revocation(AdmittedRequest request, GateDecision decision) {}

    /** Registers a request; must be called before the request is evaluated. */
    public AdmittedRequest register(
            long id, String group, List<Operation> operations, String principal) {
        AdmittedRequest request =
                new AdmittedRequest(id, group, operations, principal, gate.version());
        inFlight.add(request);
        return request;
    }

    /** Removes a request that was answered or refused. */
    public void unregister(AdmittedRequest request) {
        inFlight.remove(request);
    }

    /** Returns the version that the proxy may report as applied. */
    public long appliedVersion() {
        // Read before the requests: one registered later starts with at least this version.
        long appliedVersion = gate.version();
        for (AdmittedRequest request : inFlight) {
            appliedVersion = Math.min(appliedVersion, request.allowedByVersion());
        }
        return appliedVersion;
    }

    /**
     * Evaluates the requests in flight that the active version has not evaluated, and all of them
     * if the lease has ended.
     *
     * @param now current time in nanoseconds, of the clock that the lease uses
     * @return requests that must not run; each is returned again until it is unregistered
     */
    public List<Revocation> evaluate(long now) {
        boolean leaseValid = gate.hasValidRules(now);
        long activeVersion = gate.version();
        List<Revocation> revoked = new ArrayList<>();
        for (AdmittedRequest request : inFlight) {
            if (!leaseValid || request.allowedByVersion() < activeVersion) {
                evaluate(request, now).forEach(revoked::add);
            }
        }
        return revoked;
    }

    /**
     * Evaluates one request with the active version; returns the revocation if it is not allowed.
     */
    public Option<Revocation> evaluate(AdmittedRequest request, long now) {
        // Read before the decisions, because a newer version may become active meanwhile.
        long version = gate.version();
        for (Operation operation : request.operations()) {
            GateDecision decision =
                    gate.decide(request.group(), operation, request.principal(), now);
            if (!decision.allowed()) {
                return Option.of(new Revocation(request, decision));
            }
        }
        request.recordAllowedBy(version);
        return Option.none();
    }
}
