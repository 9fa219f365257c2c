package org.ragwortmoor.coordination.control;

import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;
import io.vavr.control.Option;

/**
 * The accepted rule files and the pending one.
 *
 * @param accepted accepted files by version; all are retained, but only the newest with their texts
 * @param pending file whose wider scopes are not prepared by every member proxy yet
 * @param lastVersion highest version ever assigned, including versions of withdrawn files
 * @param inForce newest version known to be in force on every proxy
 */
public record RuleHistory(
        TreeMap<Long, Entry> accepted, Option<Entry> pending, long lastVersion, long inForce) {
    /**
     * Number of versions whose texts are retained; limits the texts to 100 MB for files of 100 KB.
     */
    public static final int MAX_TEXTS = 1_000;

    /**
     * Value of {@code inForceMillis} that marks a version created by a restore. Such a version is
     * not sent to proxies, because a newer file may have been accepted after the backup.
     */
    static final long RESTORED = -1;

    /** An empty history. */
    public static final RuleHistory EMPTY = new RuleHistory(TreeMap.empty(), Option.none(), 0, 0);

    /**
     * A version of the rule file.
     *
     * @param version version number
     * @param text text of the file; none for versions older than the newest {@link #MAX_TEXTS}
     * @param scopes scopes declared in the file, retained as long as the text
     * @param operator operator who applied the file
     * @param operationId id of the operation that applied the file
     * @param timeMillis wall-clock time of the request in milliseconds
     * @param inForceMillis wall-clock time at which the version was found to be in force on every
     *     proxy; 0 if it is not yet, {@link #RESTORED} if it was created by a restore
     */
    public record Entry(
            long version,
            Option<String> text,
            TreeSet<RuleScope> scopes,
            String operator,
            String operationId,
            long timeMillis,
            long inForceMillis) {
        Entry withoutText() {
            return new Entry(
                    version,
                    Option.none(),
                    TreeSet.empty(),
                    operator,
                    operationId,
                    timeMillis,
                    inForceMillis);
        }

        /**
         * Returns whether this version was created by a restore; such a version is never sent to a
         * proxy.
         */
        public boolean restored() {
            return inForceMillis == RESTORED;
        }

        Entry inForceAt(long millis) {
            return new Entry(version, text, scopes, operator, operationId, timeMillis, millis);
        }

        CommandResult.Winner winner() {
            return new CommandResult.Winner(operator, operationId, timeMillis);
        }
    }

    /** Returns the newest accepted file. */
    public Option<Entry> current() {
        return accepted.isEmpty() ? Option.none() : Option.of(accepted.last()._2);
    }

    /** Returns the newest accepted version; 0 if there is none. */
    public long version() {
        return current().map(Entry::version).getOrElse(0L);
    }

    /**
     * Returns whether the newest version was created by a restore and an operator must still apply
     * the rules that are to be in force.
     */
    public boolean awaitsConfirmation() {
        return current().exists(Entry::restored);
    }

    /**
     * Returns the version of the newest restore, or 0 if there was none. No version or term
     * assigned before this restore is higher.
     */
    public long restoreFloor() {
        return accepted.values().filter(Entry::restored).map(Entry::version).max().getOrElse(0L);
    }

    RuleHistory accept(Entry entry) {
        TreeMap<Long, Entry> next = accepted.put(entry.version(), entry);
        if (next.size() > MAX_TEXTS) {
            next = dropOldTexts(next);
        }
        return new RuleHistory(
                next, Option.none(), Math.max(lastVersion, entry.version()), inForce);
    }

    /**
     * Removes the texts of all but the newest versions. Iterates over entries and not over version
     * numbers, because a restore skips a very large range of numbers.
     */
    private static TreeMap<Long, Entry> dropOldTexts(TreeMap<Long, Entry> all) {
        TreeMap<Long, Entry> older = all;
        for (int kept = 0; kept < MAX_TEXTS; kept++) {
            older = older.init();
        }
        TreeMap<Long, Entry> next = all;
        while (!older.isEmpty() && older.last()._2.text().isDefined()) {
            next = next.put(older.last()._1, older.last()._2.withoutText());
            older = older.init();
        }
        return next;
    }

    RuleHistory prepare(Entry entry) {
        return new RuleHistory(accepted, Option.of(entry), entry.version(), inForce);
    }

    RuleHistory withdraw() {
        return new RuleHistory(accepted, Option.none(), lastVersion, inForce);
    }

    RuleHistory markInForce(long version, long timeMillis) {
        TreeMap<Long, Entry> next = accepted;
        TreeMap<Long, Entry> rest = accepted;
        while (!rest.isEmpty() && rest.last()._1 > inForce) {
            Entry entry = rest.last()._2;
            if (entry.version() <= version && !entry.restored()) {
                next = next.put(entry.version(), entry.inForceAt(timeMillis));
            }
            rest = rest.init();
        }
        return new RuleHistory(next, pending, lastVersion, version);
    }
}
