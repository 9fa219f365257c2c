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
     * @param inForceMillis wall-clock time at which it was found in force everywhere; 0 if not yet
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

    RuleHistory accept(Entry entry) {
        TreeMap<Long, Entry> next = accepted.put(entry.version(), entry);
        if (next.size() > KEPT_TEXTS) {
            next = dropTextBefore(next, entry.version());
        }
        return new RuleHistory(
                next, Option.none(), Math.max(lastVersion, entry.version()), inForce);
    }

    /** Versions may skip numbers of withdrawn files, so the entry is found by counting texts. */
    private static TreeMap<Long, Entry> dropTextBefore(TreeMap<Long, Entry> all, long newest) {
        long candidate = newest - KEPT_TEXTS;
        TreeMap<Long, Entry> next = all;
        while (candidate > 0) {
            Option<Entry> old = next.get(candidate);
            if (old.isDefined()) {
                if (old.get().text().isEmpty()) {
                    return next;
                }
                next = next.put(candidate, old.get().withoutText());
            }
            candidate--;
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
        long at = version;
        while (at > inForce) {
            Option<Entry> entry = next.get(at);
            if (entry.isDefined()) {
                next = next.put(at, entry.get().inForceAt(timeMillis));
            }
            at--;
        }
        return new RuleHistory(next, pending, lastVersion, version);
    }
}
