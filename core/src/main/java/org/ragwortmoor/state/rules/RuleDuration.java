package org.ragwortmoor.state.rules;

import io.vavr.control.Option;
import java.util.LinkedHashMap;
import java.util.Map;

/** Text form of durations in the rule file, such as {@code 250ms}, {@code 5s} or {@code 2h}. */
final class RuleDuration {
    /** Maximum duration; a longer one most likely has the wrong unit. */
    static final long MAX_MILLIS = 366L * 24 * 60 * 60 * 1000;

    private static final int MAX_DIGITS = 12;

    /** Units from the largest to the smallest, in milliseconds. */
    private static final Map<String, Long> UNITS = new LinkedHashMap<>();

    static {
        UNITS.put("d", 24L * 60 * 60 * 1000);
        UNITS.put("h", 60L * 60 * 1000);
        UNITS.put("m", 60L * 1000);
        UNITS.put("s", 1000L);
        UNITS.put("ms", 1L);
    }

    private RuleDuration() {}

    /**
     * Returns the duration in milliseconds, if {@code text} is a duration in the accepted range.
     */
    static Option<Long> parse(String text) {
        int digits = 0;
        while (digits < text.length() && text.charAt(digits) >= '0' && text.charAt(digits) <= '9') {
            digits++;
        }
        Long unit = UNITS.get(text.substring(digits));
        if (digits == 0 || digits > MAX_DIGITS || unit == null) {
            return Option.none();
        }
        long amount = Long.parseLong(text.substring(0, digits));
        return amount <= MAX_MILLIS / unit ? Option.of(amount * unit) : Option.none();
    }

    /** Returns the shortest exact text form. */
    static String format(long millis) {
        for (Map.Entry<String, Long> unit : UNITS.entrySet()) {
            if (millis != 0 && millis % unit.getValue() == 0) {
                return millis / unit.getValue() + unit.getKey();
            }
        }
        return millis + "ms";
    }
}
