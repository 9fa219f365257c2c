package org.ragwortmoor.load;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/**
 * A fault at a time of the run.
 *
 * @param atMillis time after the start of the load, in milliseconds
 * @param kind kind of fault
 * @param target endpoint, proxy, {@code primary-of-GROUP} or {@code replica-of-GROUP}
 * @param forMillis time after which the fault is cleared; 0 if it stays
 */
public record FaultPlan(long atMillis, Kind kind, String target, long forMillis) {
    /** Words of a schedule without faults. */
    static final String NONE = "none";

    private static final long MAX_MILLIS = 3_600_000;

    /** Kinds of faults. */
    public enum Kind {
        /** Ends an endpoint or a proxy at once. */
        KILL,
        /** An endpoint drops all frames, as a stopped process would. */
        FREEZE,
        /** Half of the open connections of an endpoint go silent for good. */
        SILENT,
        /** An endpoint loses contact with everybody, in both directions. */
        CUT,
        /** An endpoint announces that it leaves. */
        LEAVING
    }

    /** Reads {@code AT:KIND:TARGET[:FOR], ...} or {@code none}; the result is sorted by time. */
    public static Either<String, List<FaultPlan>> parse(String text) {
        List<FaultPlan> plans = new ArrayList<>();
        if (text.equals(NONE)) {
            return Either.right(List.of());
        }
        for (String part : text.split(",", -1)) {
            Either<String, FaultPlan> plan = one(part.strip());
            if (plan.isLeft()) {
                return Either.left(plan.getLeft());
            }
            plans.add(plan.get());
        }
        plans.sort(Comparator.comparingLong(FaultPlan::atMillis));
        return Either.right(List.copyOf(plans));
    }

    private static Either<String, FaultPlan> one(String text) {
        String[] parts = text.split(":", -1);
        if (parts.length < 3 || parts.length > 4 || parts[2].isEmpty()) {
            return Either.left("'" + text + "' is not AT:KIND:TARGET[:FOR]");
        }
        long at = millis(parts[0]);
        long during = parts.length == 4 ? millis(parts[3]) : 0;
        if (at < 0 || during < 0) {
            return Either.left("'" + text + "' has a time that is not 0 to " + MAX_MILLIS + " ms");
        }
        for (Kind kind : Kind.values()) {
            if (kind.name().toLowerCase(Locale.ROOT).equals(parts[1])) {
                return Either.right(new FaultPlan(at, kind, parts[2], during));
            }
        }
        return Either.left("'" + parts[1] + "' is no kind of fault");
    }

    private static long millis(String text) {
        try {
            long value = Long.parseLong(text);
            return value <= MAX_MILLIS ? value : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
