package org.ragwortmoor.settings;

import io.vavr.control.Either;
import java.util.function.Function;

/**
 * The type of a setting's value.
 *
 * @param range accepted values in words
 * @param reader returns the value of a text, or what is wrong with it
 */
public record ValueType<T>(String range, Function<String, Either<String, T>> reader) {
    /** Returns the value of {@code text}, or what is wrong with it. */
    public Either<String, T> parse(String text) {
        return reader.apply(text);
    }
}
