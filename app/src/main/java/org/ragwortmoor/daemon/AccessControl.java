package org.ragwortmoor.daemon;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import org.ragwortmoor.coordination.activation.AdmittedRequest;
import org.ragwortmoor.coordination.activation.AdmittedRequests;
import org.ragwortmoor.coordination.activation.AdmittedRequests.Revocation;
import org.ragwortmoor.coordination.activation.GateDecision;
import org.ragwortmoor.coordination.activation.RulesGate;
import org.ragwortmoor.coordination.activation.UpdateResult;
import org.ragwortmoor.coordination.control.ControlUpdate;
import org.ragwortmoor.http.CallerBodies.ErrorBody;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.endpoint.ReadRecord;
import org.ragwortmoor.state.rules.RuleSet;
import org.ragwortmoor.state.rules.ScanDecision;

/** Decides on requests by the rules, also on those in flight when the rules change. */
final class AccessControl implements RulesReview {
    private static final long RETRY_AFTER_MILLIS = 500;

    private final RulesGate gate = new RulesGate();
    private final AdmittedRequests admitted = new AdmittedRequests(gate);
    private final AtomicBoolean leaseSeen = new AtomicBoolean();
    private final LongSupplier clock;

    AccessControl(LongSupplier clock) {
        this.clock = clock;
    }

    /** Takes rules and lease from an update. */
    UpdateResult accept(ControlUpdate update) {
        return gate.accept(update);
    }

    /** Returns whether the rules lease is valid. */
    boolean current() {
        return gate.hasValidRules(clock.getAsLong());
    }

    /** Returns the version to report: it or a later one allows every request in flight. */
    long appliedVersion() {
        return admitted.appliedVersion();
    }

    /** Returns the newest version that decides requests. */
    long activeVersion() {
        return gate.version();
    }

    /** Returns the pending version whose scopes are held back; 0 if there is none. */
    long preparedVersion() {
        return gate.preparedVersion();
    }

    /** Returns the active rules. */
    RuleSet rules() {
        return gate.rules();
    }

    /**
     * Decides on the operations of one request.
     *
     * @param id identifier of the request
     * @return a permit to be closed when the request has been answered, or the refusal
     */
    Either<ErrorBody, Permit> admit(
            long id, String group, List<Operation> operations, String principal) {
        AdmittedRequest request = admitted.register(id, group, operations, principal);
        Option<Revocation> refused = admitted.evaluate(request, clock.getAsLong());
        if (refused.isDefined()) {
            admitted.unregister(request);
            return Either.left(refusal(refused.get().decision()));
        }
        return Either.right(new Permit(request));
    }

    @Override
    public boolean leaseEnded() {
        if (current()) {
            if (!leaseSeen.get()) {
                leaseSeen.set(true);
            }
            return false;
        }
        return leaseSeen.get() && leaseSeen.compareAndSet(true, false);
    }

    @Override
    public List<Revocation> review() {
        return admitted.evaluate(clock.getAsLong());
    }

    /** Returns the age that all operations accept by default, if rules state one for each. */
    OptionalLong acceptedAgeMillis(String group, List<Operation> operations) {
        long smallest = Long.MAX_VALUE;
        for (Operation operation : operations) {
            OptionalLong age = gate.acceptedAgeMillis(group, operation);
            if (age.isEmpty()) {
                return OptionalLong.empty();
            }
            smallest = Math.min(smallest, age.getAsLong());
        }
        return OptionalLong.of(smallest);
    }

    /** Removes the records from a scan's result that the session may not read. */
    ScanDecision filter(String group, List<ReadRecord> records, String principal) {
        return gate.rules().decideScan(group, records, principal);
    }

    /** Returns the error that a caller gets for a decision that refuses its request. */
    static ErrorBody refusal(GateDecision decision) {
        return decision instanceof GateDecision.Forbidden
                ? new ErrorBody("FORBIDDEN", decision.message(), 0)
                : new ErrorBody("RULES_EXPIRED", decision.message(), RETRY_AFTER_MILLIS);
    }

    /** Keeps a request under review, and a version that forbids it from being reported. */
    final class Permit implements AutoCloseable {
        private final AdmittedRequest request;

        private Permit(AdmittedRequest request) {
            this.request = request;
        }

        /** Returns why the request is not allowed any more, if so. */
        Option<ErrorBody> refusedNow() {
            return admitted.evaluate(request, clock.getAsLong())
                    .map(revocation -> refusal(revocation.decision()));
        }

        @Override
        public void close() {
            admitted.unregister(request);
        }
    }
}
