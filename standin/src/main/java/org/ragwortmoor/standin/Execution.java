package org.ragwortmoor.standin;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import org.ragwortmoor.state.endpoint.Operation;
import org.ragwortmoor.state.endpoint.ReadRecord;

/**
 * Runs operations against the tables and keeps their changes apart until they are committed.
 *
 * <p>Remembers everything that was read or changed, so that a transaction can be validated: if
 * another entry changed any of it since the transaction began, the transaction conflicts. Not
 * thread safe.
 */
final class Execution {
    /**
     * Largest result of one statement. Results are stored in the entry of a write beside its
     * changes, and both together have to fit into one frame of 1 MiB.
     */
    static final int MAX_RESULT_BYTES = 384 * 1024;

    /** Largest set of changes of one write or transaction; see {@link #MAX_RESULT_BYTES}. */
    static final int MAX_CHANGE_BYTES = 512 * 1024;

    private final Tables tables;
    private final long startIndex;
    private final NavigableMap<String, Option<String>> changes = new TreeMap<>();
    private final Set<String> keys = new HashSet<>();
    private final Set<String> prefixes = new HashSet<>();

    Execution(Tables tables, long startIndex) {
        this.tables = tables;
        this.startIndex = startIndex;
    }

    /** Returns an execution that continues from here and leaves this one unchanged. */
    Execution copy() {
        Execution copy = new Execution(tables, startIndex);
        copy.changes.putAll(changes);
        copy.keys.addAll(keys);
        copy.prefixes.addAll(prefixes);
        return copy;
    }

    /** Ends the execution of a statement that cannot run; the message names the remedy. */
    static final class InvalidStatementException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidStatementException(String message) {
            super(message, null, false, false);
        }
    }

    /** Runs the operations in order and returns the records that the reads returned. */
    List<ReadRecord> run(List<Operation> operations) throws InvalidStatementException {
        List<ReadRecord> results = new ArrayList<>();
        for (Operation operation : operations) {
            run(operation, results);
        }
        if (LogEntry.recordsSize(results) > MAX_RESULT_BYTES) {
            throw new InvalidStatementException(
                    "result exceeds " + MAX_RESULT_BYTES + " bytes; read fewer records at a time");
        }
        if (LogEntry.changesSize(changes()) > MAX_CHANGE_BYTES) {
            throw new InvalidStatementException(
                    "changes exceed " + MAX_CHANGE_BYTES + " bytes; split the write");
        }
        return results;
    }

    /** Returns the changes so far in key order. */
    List<Change> changes() {
        List<Change> list = new ArrayList<>(changes.size());
        changes.forEach((key, value) -> list.add(new Change(key, value)));
        return list;
    }

    /** Returns whether an entry behind the start changed what this execution read or changed. */
    boolean conflicts() {
        return keys.stream().anyMatch(key -> tables.changedSince(key, startIndex))
                || prefixes.stream().anyMatch(p -> tables.rangeChangedSince(p, startIndex));
    }

    private void run(Operation operation, List<ReadRecord> results)
            throws InvalidStatementException {
        if (operation instanceof Operation.Scan scan) {
            prefixes.add(scan.prefix());
            scan(scan, results);
            return;
        }
        keys.add(operation.target());
        if (operation instanceof Operation.Get get) {
            results.add(new ReadRecord(get.key(), value(get.key())));
        } else if (operation instanceof Operation.Put put) {
            changes.put(put.key(), Option.some(put.value()));
        } else if (operation instanceof Operation.Delete delete) {
            changes.put(delete.key(), Option.none());
        } else if (operation instanceof Operation.Increment increment) {
            changes.put(increment.key(), Option.some(incremented(increment)));
        }
    }

    private Option<String> value(String key) {
        Option<String> changed = changes.get(key);
        return changed != null ? changed : tables.get(key);
    }

    private String incremented(Operation.Increment increment) throws InvalidStatementException {
        String before = value(increment.key()).getOrElse("0");
        try {
            return Long.toString(Math.addExact(Long.parseLong(before), increment.delta()));
        } catch (NumberFormatException | ArithmeticException e) {
            throw new InvalidStatementException(
                    "record " + increment.key() + " is no number that can be incremented");
        }
    }

    private void scan(Operation.Scan scan, List<ReadRecord> results)
            throws InvalidStatementException {
        NavigableMap<String, Option<String>> merged = new TreeMap<>();
        // The changes of this execution can hide at most as many stored records as they are.
        long wanted = (long) scan.limit() + changes.size();
        int size = 0;
        for (Map.Entry<String, String> entry :
                tables.from(scan.prefix(), scan.after()).entrySet()) {
            if (!entry.getKey().startsWith(scan.prefix()) || merged.size() >= wanted) {
                break;
            }
            size += entry.getKey().length() + entry.getValue().length();
            if (size > MAX_RESULT_BYTES) {
                throw new InvalidStatementException(
                        "scan exceeds " + MAX_RESULT_BYTES + " bytes; lower its limit");
            }
            merged.put(entry.getKey(), Option.some(entry.getValue()));
        }
        changes.forEach(
                (key, value) -> {
                    if (key.startsWith(scan.prefix()) && key.compareTo(scan.after()) > 0) {
                        merged.put(key, value);
                    }
                });
        merged.entrySet().stream()
                .filter(entry -> entry.getValue().isDefined())
                .limit(scan.limit())
                .forEach(entry -> results.add(new ReadRecord(entry.getKey(), entry.getValue())));
    }
}
