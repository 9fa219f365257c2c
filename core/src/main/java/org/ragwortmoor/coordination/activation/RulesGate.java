package org.ragwortmoor.coordination.activation;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicReference;
import org.ragwortmoor.coordination.control.ControlUpdate;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.rules.Access;
import org.ragwortmoor.state.rules.Decision;
import org.ragwortmoor.state.rules.RuleSet;

/**
 * A proxy's rules: the active version, a prepared one and the lease.
 *
 * <p>The gate is deterministic and has no clock. It is safe for concurrent use: each call works on
 * one immutable snapshot. All times are in nanoseconds of the proxy's monotonic clock.
 *
 * <p>A prepared version never decides. Its scopes are held back together with the active ones once
 * the lease has ended, because the version may have taken effect since.
 */
public final class RulesGate {
    /** Version that a proxy reports before it has received one; the first real version is 0. */
    public static final long NO_VERSION = -1;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final AtomicReference<RulesSnapshot> current =
            new AtomicReference<>(RulesSnapshot.INITIAL);

    /**
     * Takes the rules and the lease from an update. Nothing of an update is accepted unless all of
     * it is: a lease without its rules would let the proxy serve by rules that are out of date.
     */
    public UpdateResult accept(ControlUpdate update) {
        Either<UpdateResult, Option<RulesVersion>> active = RulesVersion.parse(update.rules());
        Either<UpdateResult, Option<RulesVersion>> prepared = RulesVersion.parse(update.pending());
        if (active.isLeft() || prepared.isLeft()) {
            return active.isLeft() ? active.getLeft() : prepared.getLeft();
        }
        long deadline = update.reportSentAt() + update.rulesLeaseMillis() * NANOS_PER_MILLI;
        return accept(update.leaderTerm(), active.get(), prepared.get(), deadline);
    }

    /** Takes parsed rules and a lease; parsing stays outside of the loop. */
    UpdateResult accept(
            long term, Option<RulesVersion> active, Option<RulesVersion> prepared, long deadline) {
        while (true) {
            RulesSnapshot before = current.get();
            Either<UpdateResult, RulesSnapshot> after =
                    before.next(term, active, prepared, deadline);
            if (after.isLeft()) {
                return after.getLeft();
            }
            if (current.compareAndSet(before, after.get())) {
                return UpdateResult.of(
                        after.get().sameVersions(before)
                                ? UpdateResult.Kind.CONFIRMED
                                : UpdateResult.Kind.CHANGED);
            }
        }
    }

    /**
     * Decides on an operation. A scan that is allowed here must still be decided on each record,
     * see {@link RuleSet#decideScan}.
     *
     * @param now current time in nanoseconds
     */
    public GateDecision decide(String group, Operation operation, String principal, long now) {
        RulesSnapshot snapshot = current.get();
        if (snapshot.active().isEmpty()) {
            return new GateDecision.HeldBack(NO_VERSION, GateDecision.Reason.NO_VERSION);
        }
        RulesVersion active = snapshot.active().get();
        boolean scan = operation.kind() == Operation.Kind.SCAN;
        String target = operation.target();
        if (snapshot.leaseEnded(now) && snapshot.couldBeForbidden(group, target, scan)) {
            return new GateDecision.HeldBack(active.version(), GateDecision.Reason.LEASE_ENDED);
        }
        Decision decision =
                scan
                        ? active.rules().decideScanPrefix(group, target, principal)
                        : active.rules().decide(group, target, principal, Access.of(operation));
        return decision.allowed()
                ? new GateDecision.Allowed(active.version(), decision)
                : new GateDecision.Forbidden(active.version(), decision);
    }

    /**
     * Returns the age that an operation accepts by default.
     *
     * @return the age in milliseconds, or empty if no line states one
     */
    public OptionalLong acceptedAgeMillis(String group, Operation operation) {
        RuleSet rules = rules();
        return operation.kind() == Operation.Kind.SCAN
                ? rules.acceptedAgeOfScanMillis(group, operation.target())
                : rules.acceptedAgeMillis(group, operation.target());
    }

    /** Returns the active rules, or empty ones before the first version. */
    public RuleSet rules() {
        return current.get().active().map(RulesVersion::rules).getOrElse(RuleSet.EMPTY);
    }

    /** Returns the active version for the report, or {@link #NO_VERSION}. */
    public long version() {
        return current.get().version();
    }

    /** Returns the prepared version for the report, or 0 if there is none. */
    public long preparedVersion() {
        return current.get().prepared().map(RulesVersion::version).getOrElse(0L);
    }

    /** Returns the highest leader term of which an update was accepted. */
    public long leaderTerm() {
        return current.get().leaderTerm();
    }

    /** Returns whether the proxy has a version and its lease is valid at {@code now}. */
    public boolean current(long now) {
        RulesSnapshot snapshot = current.get();
        return snapshot.active().isDefined() && !snapshot.leaseEnded(now);
    }
}
