package org.ragwortmoor.settings;

import io.vavr.control.Option;
import java.util.Locale;

/**
 * A setting.
 *
 * @param name name in lower case with hyphens
 * @param type type of the value
 * @param unit unit of the value; empty if it has none
 * @param defaultText default; none if the setting is required
 * @param reason what the setting is for, and why the default was chosen
 */
public record Setting<T>(
        String name, ValueType<T> type, String unit, Option<String> defaultText, String reason) {
    private static final String VARIABLE_PREFIX = "RAGWORTMOOR_";

    /** Returns a setting without a default. */
    public static <T> Setting<T> required(String name, ValueType<T> type, String reason) {
        return new Setting<>(name, type, "", Option.none(), reason);
    }

    /** Returns a setting with a default. */
    public static <T> Setting<T> of(
            String name, ValueType<T> type, String unit, String defaultText, String reason) {
        return new Setting<>(name, type, unit, Option.of(defaultText), reason);
    }

    /** Returns the command-line flag. */
    public String flag() {
        return "--" + name;
    }

    /** Returns the environment variable. */
    public String variable() {
        return variable(name);
    }

    /** Returns the environment variable of the setting {@code name}. */
    public static String variable(String name) {
        return VARIABLE_PREFIX + name.toUpperCase(Locale.ROOT).replace('-', '_');
    }

    /** Returns the accepted values with their unit. */
    public String rangeWithUnit() {
        return unit.isEmpty() ? type.range() : type.range() + " " + unit;
    }
}
