package org.ragwortmoor.coordination.control;

import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;
import io.vavr.control.Either;
import io.vavr.control.Option;

/**
 * The initial state of a control group that is restored from a backup.
 *
 * <p>Decisions after the backup are unknown. Every number that must not be reused is therefore
 * raised to a floor above all numbers that can have been assigned: the begun term of every group,
 * the rules version and the revision. A begun term makes the new leader fence the endpoints first.
 * The raised rules version awaits confirmation, see {@link RuleHistory#awaitsConfirmation}.
 */
public final class RestoredState {
    /** Operator name of the rules version that a restore creates. */
    public static final String OPERATOR = "restore";

    private static final String REASON = "control state restored from a backup";

    private RestoredState() {}

    /**
     * Returns the restored state.
     *
     * @param backup state in the backup
     * @param floor wall-clock time of the restore in milliseconds. Terms and versions are assigned
     *     less than once per millisecond, so no number assigned after an earlier restore can be
     *     above it.
     * @return the state, or the reason why the floor is too low
     */
    public static Either<String, ControlState> of(ControlState backup, long floor) {
        long highest = highestNumber(backup);
        if (highest >= floor) {
            return Either.left(
                    "the backup holds the term or version "
                            + highest
                            + ", which is not below the clock of this machine ("
                            + floor
                            + " ms); correct the clock and restore again");
        }
        return Either.right(
                new ControlState(
                        floor,
                        backup.groups().mapValues(g -> raise(g, floor)),
                        backup.members(),
                        restoredRules(backup.rules(), floor),
                        backup.operations(),
                        backup.tokenKeys()));
    }

    private static long highestNumber(ControlState state) {
        long terms =
                state.groups()
                        .values()
                        .map(g -> Math.max(g.begunTerm(), g.term()))
                        .max()
                        .getOrElse(0L);
        long version = Math.max(state.rules().lastVersion(), state.rules().version());
        return Math.max(Math.max(terms, version), state.revision());
    }

    /**
     * Raises the begun term and the revision; the revision makes every proxy accept the group
     * again, regardless of what it acknowledged before.
     */
    private static GroupState raise(GroupState group, long floor) {
        return new GroupState(
                group.group(),
                group.size(),
                group.endpoints(),
                floor,
                REASON,
                group.term(),
                group.primary(),
                floor);
    }

    /**
     * Adds the restored version. A pending file is dropped, because it is no longer known which
     * proxies block its scopes.
     */
    private static RuleHistory restoredRules(RuleHistory rules, long floor) {
        RuleHistory.Entry entry =
                new RuleHistory.Entry(
                        floor,
                        rules.current().flatMap(RuleHistory.Entry::text).orElse(Option.of("")),
                        rules.current().map(RuleHistory.Entry::scopes).getOrElse(TreeSet.empty()),
                        OPERATOR,
                        OPERATOR + "-" + floor,
                        floor,
                        RuleHistory.RESTORED);
        TreeMap<Long, RuleHistory.Entry> accepted = rules.accepted();
        return new RuleHistory(accepted, Option.none(), rules.lastVersion(), rules.inForce())
                .accept(entry);
    }
}
