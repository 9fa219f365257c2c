package org.ragwortmoor.coordination.activation;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.ragwortmoor.state.rules.RuleSet;

/**
 * Immutable state of a {@link RulesGate}.
 *
 * @param leaderTerm highest leader term seen
 * @param active version that decides on operations
 * @param prepared pending version with wider scopes
 * @param leaseDeadline end of the lease in nanoseconds; undefined before the first version
 */
record RulesSnapshot(
        long leaderTerm,
        Option<RulesVersion> active,
        Option<RulesVersion> prepared,
        long leaseDeadline) {
    static final RulesSnapshot INITIAL = new RulesSnapshot(0, Option.none(), Option.none(), 0);

    long version() {
        return active.map(RulesVersion::version).getOrElse(RulesGate.NO_VERSION);
    }

    /** Compares times by their difference, because {@link System#nanoTime} may overflow. */
    boolean leaseEnded(long now) {
        return now - leaseDeadline >= 0;
    }

    boolean mayBeForbidden(String group, String target, boolean scan) {
        return overlapsScope(active, group, target, scan)
                || overlapsScope(prepared, group, target, scan);
    }

    private static boolean overlapsScope(
            Option<RulesVersion> version, String group, String target, boolean scan) {
        if (version.isEmpty()) {
            return false;
        }
        RuleSet rules = version.get().rules();
        return scan ? rules.scanTouchesScope(group, target) : rules.inScope(group, target);
    }

    boolean hasSameVersions(RulesSnapshot other) {
        return active.equals(other.active) && prepared.equals(other.prepared);
    }

    /** Returns the snapshot after an update, or the reason for ignoring the update. */
    Either<UpdateResult, RulesSnapshot> next(
            long term,
            Option<RulesVersion> newActive,
            Option<RulesVersion> newPrepared,
            long deadline) {
        if (term < leaderTerm) {
            return stale("leader term " + term + " is lower than " + leaderTerm);
        }
        if (newActive.exists(v -> v.version() < version())) {
            return stale(
                    "rules version " + newActive.get().version() + " is lower than " + version());
        }
        if (contradicts(active, newActive) || contradicts(prepared, newPrepared)) {
            return Either.left(
                    new UpdateResult(
                            UpdateResult.Kind.REFUSED,
                            "two different texts have the same rules version; compare the rules of"
                                    + " the control processes and repair the differing one"));
        }
        Option<RulesVersion> nextActive = newer(active, newActive);
        if (nextActive.isEmpty()) {
            // Without an active version the lease has no effect. A prepared version is stored
            // anyway: after a restore, wider scopes take effect only once this proxy has it.
            return Either.right(
                    new RulesSnapshot(
                            term, nextActive, newer(prepared, newPrepared), leaseDeadline));
        }
        long activeVersion = nextActive.get().version();
        Option<RulesVersion> nextPrepared =
                newer(prepared, newPrepared).filter(v -> v.version() > activeVersion);
        boolean firstVersion = active.isEmpty();
        long nextLeaseDeadline =
                firstVersion || deadline - leaseDeadline > 0 ? deadline : leaseDeadline;
        return Either.right(new RulesSnapshot(term, nextActive, nextPrepared, nextLeaseDeadline));
    }

    private static Either<UpdateResult, RulesSnapshot> stale(String message) {
        return Either.left(new UpdateResult(UpdateResult.Kind.STALE, message));
    }

    private static boolean contradicts(Option<RulesVersion> known, Option<RulesVersion> received) {
        return known.isDefined() && received.exists(known.get()::contradicts);
    }

    private static Option<RulesVersion> newer(
            Option<RulesVersion> known, Option<RulesVersion> received) {
        boolean later =
                received.isDefined()
                        && (known.isEmpty() || received.get().version() > known.get().version());
        return later ? received : known;
    }
}
