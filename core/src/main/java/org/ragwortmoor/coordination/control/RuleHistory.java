package org.ragwortmoor.coordination.control;

import io.vavr.collection.TreeMap;
import io.vavr.collection.TreeSet;
import io.vavr.control.Option;

/**
 * The accepted rule files and the pending one.
 *
 * @param accepted accepted files by version; all are kept, their texts only for the newest
 * @param pending file that waits for every member proxy to prepare its wider scopes
 * @param lastVersion highest version ever given, also to files that were withdrawn
 * @param inForce newest version known to be in force on every proxy
 */
public record RuleHistory(
        TreeMap<Long, Entry> accepted, Option<Entry> pending, long lastVersion, long inForce) {
    /** Texts of this many versions are kept; a file of 100 KB then takes 100 MB at most. */
    public static final int KEPT_TEXTS = 1_000;

    /**
     * Marks a version that a restore made: {@code inForceMillis} of an entry that no proxy gets,
     * because a newer file may have been accepted after the backup.
     */
    static final long RESTORED = -1;

    /** No rules. */
    public static final RuleHistory EMPTY = new RuleHistory(TreeMap.empty(), Option.none(), 0, 0);

    /**
     * A version of the rule file.
     *
     * @param version its number
     * @param text its text, empty for versions older than the newest {@link #KEPT_TEXTS}
     * @param scopes the scopes that it declares, kept as long as the text
     * @param operator who applied it
     * @param operationId operation that applied it
     * @param timeMillis wall-clock time of the request in milliseconds
     * @param inForceMillis wall-clock time at which it was found in force everywhere; 0 if not yet,
     *     {@link #RESTORED} if it was made by a restore
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

        /** Returns whether a restore made this version; it is never given to a proxy. */
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
     * Returns whether the newest version was made by a restore, so that an operator must apply the
     * rules that are to be in force.
     */
    public boolean awaitsConfirmation() {
        return current().exists(Entry::restored);
    }

    /**
     * Returns the version of the newest restore; 0 if there was none. No version and no term that
     * was given before this restore is above it.
     */
    public long restoreFloor() {
        return accepted.values().filter(Entry::restored).map(Entry::version).max().getOrElse(0L);
    }

    RuleHistory accept(Entry entry) {
        TreeMap<Long, Entry> next = accepted.put(entry.version(), entry);
        if (next.size() > KEPT_TEXTS) {
            next = dropOldTexts(next);
        }
        return new RuleHistory(
                next, Option.none(), Math.max(lastVersion, entry.version()), inForce);
    }

    /** Walks over entries instead of numbers: a restore skips very many numbers. */
    private static TreeMap<Long, Entry> dropOldTexts(TreeMap<Long, Entry> all) {
        TreeMap<Long, Entry> older = all;
        for (int kept = 0; kept < KEPT_TEXTS; kept++) {
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
