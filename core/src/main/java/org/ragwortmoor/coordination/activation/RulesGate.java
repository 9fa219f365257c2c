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
 * Enforces the rules in a proxy: holds the active version, the prepared version and the rules
 * lease.
 *
 * <p>The gate is deterministic and has no clock. It is thread-safe: each call uses one immutable
 * snapshot. Times are in nanoseconds of the proxy's monotonic clock.
 *
 * <p>A prepared version decides nothing. After the lease has ended, operations in its scopes are
 * held back like those in the active scopes, because the version may have taken effect in the
 * meantime.
 */
public final class RulesGate {
    /** Version reported before a version was received; the first actual version is 0. */
    public static final long NO_VERSION = -1;

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final AtomicReference<RulesSnapshot> state =
            new AtomicReference<>(RulesSnapshot.INITIAL);

    /**
     * Applies the rules and the lease of an update, either both or neither: a lease without its
     * rules would let the proxy serve by outdated rules.
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

    /**
     * Applies parsed rules and a lease, by compare-and-set in a loop; parsing is done once, outside
     * of it.
     */
    UpdateResult accept(
            long term, Option<RulesVersion> active, Option<RulesVersion> prepared, long deadline) {
        while (true) {
            RulesSnapshot before = state.get();
            Either<UpdateResult, RulesSnapshot> after =
                    before.next(term, active, prepared, deadline);
            if (after.isLeft()) {
                return after.getLeft();
            }
            if (state.compareAndSet(before, after.get())) {
                return UpdateResult.of(
                        after.get().hasSameVersions(before)
                                ? UpdateResult.Kind.CONFIRMED
                                : UpdateResult.Kind.CHANGED);
            }
        }
    }

    /**
     * Decides on an operation. If a scan is allowed, {@link RuleSet#decideScan} must still decide
     * on each record.
     *
     * @param now current time in nanoseconds
     */
    public GateDecision decide(String group, Operation operation, String principal, long now) {
        RulesSnapshot snapshot = state.get();
        if (snapshot.active().isEmpty()) {
            return new GateDecision.HeldBack(NO_VERSION, GateDecision.Reason.NO_VERSION);
        }
        RulesVersion active = snapshot.active().get();
        boolean scan = operation.kind() == Operation.Kind.SCAN;
        String target = operation.target();
        if (snapshot.leaseEnded(now) && snapshot.mayBeForbidden(group, target, scan)) {
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
     * Returns the default maximum staleness for an operation.
     *
     * @return the accepted age in milliseconds, or empty if no line states one
     */
    public OptionalLong acceptedAgeMillis(String group, Operation operation) {
        RuleSet rules = rules();
        return operation.kind() == Operation.Kind.SCAN
                ? rules.acceptedAgeOfScanMillis(group, operation.target())
                : rules.acceptedAgeMillis(group, operation.target());
    }

    /** Returns the active rules, or an empty rule set before the first version. */
    public RuleSet rules() {
        return state.get().active().map(RulesVersion::rules).getOrElse(RuleSet.EMPTY);
    }

    /** Returns the active version, or {@link #NO_VERSION}. */
    public long version() {
        return state.get().version();
    }

    /** Returns the prepared version, or 0 if there is none. */
    public long preparedVersion() {
        return state.get().prepared().map(RulesVersion::version).getOrElse(0L);
    }

    /** Returns the highest leader term from which an update was accepted. */
    public long leaderTerm() {
        return state.get().leaderTerm();
    }

    /** Returns whether the proxy has a version and its lease is valid at {@code now}. */
    public boolean hasValidRules(long now) {
        RulesSnapshot snapshot = state.get();
        return snapshot.active().isDefined() && !snapshot.leaseEnded(now);
    }
}
