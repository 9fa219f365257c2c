package org.ragwortmoor.daemon;

import io.vavr.control.Either;
import java.util.List;
import java.util.OptionalLong;
import java.util.function.LongSupplier;
import org.ragwortmoor.coordination.activation.GateDecision;
import org.ragwortmoor.coordination.activation.RulesGate;
import org.ragwortmoor.coordination.activation.UpdateResult;
import org.ragwortmoor.coordination.activation.VersionUsage;
import org.ragwortmoor.coordination.control.ControlUpdate;
import org.ragwortmoor.http.CallerBodies.ErrorBody;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.endpoint.ReadRecord;
import org.ragwortmoor.state.rules.RuleSet;
import org.ragwortmoor.state.rules.ScanDecision;

/** Decides on requests by the rules and tracks which version each request in flight relies on. */
final class AccessControl {
    private static final long RETRY_AFTER_MILLIS = 500;

    private final RulesGate gate = new RulesGate();
    private final VersionUsage usage = new VersionUsage();
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
        return gate.current(clock.getAsLong());
    }

    /** Returns the version to report: no request in flight relies on an older one. */
    long appliedVersion() {
        return usage.applied(gate.version());
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
     * @return a permit to be closed when the request has been answered, or the refusal
     */
    Either<ErrorBody, Permit> admit(String group, List<Operation> operations, String principal) {
        Permit permit = new Permit(usage, gate.version());
        long now = clock.getAsLong();
        for (Operation operation : operations) {
            GateDecision decision = gate.decide(group, operation, principal, now);
            if (!decision.allowed()) {
                permit.close();
                return Either.left(refusal(decision));
            }
        }
        return Either.right(permit);
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

    private static ErrorBody refusal(GateDecision decision) {
        return decision instanceof GateDecision.Forbidden
                ? new ErrorBody("FORBIDDEN", decision.message(), 0)
                : new ErrorBody("RULES_EXPIRED", decision.message(), RETRY_AFTER_MILLIS);
    }

    /** Keeps the version that admitted a request from being reported as replaced. */
    static final class Permit implements AutoCloseable {
        private final VersionUsage usage;
        private final long version;

        private Permit(VersionUsage usage, long version) {
            this.usage = usage;
            this.version = version;
            usage.enter(version);
        }

        @Override
        public void close() {
            usage.exit(version);
        }
    }
}
