package org.ragwortmoor.coordination.control;

import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;
import io.vavr.control.Either;
import io.vavr.control.Option;

/**
 * The first state of a control group that is started from a backup.
 *
 * <p>What was decided after the backup is unknown. So every number that must not be used twice is
 * raised to a floor above all that can have been given: the begun term of every group, the rules
 * version and the revision. A begun term makes the new leader fence the endpoints first. The raised
 * rules version awaits confirmation, see {@link RuleHistory#awaitsConfirmation}.
 */
public final class RestoredState {
    /** Operator of the rules version that a restore makes. */
    public static final String OPERATOR = "restore";

    private static final String REASON = "control state restored from a backup";

    private RestoredState() {}

    /**
     * Returns the state to start from.
     *
     * @param backup state of the backup
     * @param floor wall-clock time of the restore in milliseconds. Terms and versions are given
     *     less than once a millisecond, so no earlier restore can have led to a number above it.
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
                        backup.groups().mapValues(g -> group(g, floor)),
                        backup.members(),
                        rules(backup.rules(), floor),
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

    /** The revision makes every proxy take the group again, whatever it acknowledged before. */
    private static GroupState group(GroupState group, long floor) {
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

    /** A pending file is dropped: which proxies hold its scopes back is not known any more. */
    private static RuleHistory rules(RuleHistory rules, long floor) {
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
