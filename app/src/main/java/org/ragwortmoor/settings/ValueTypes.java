package org.ragwortmoor.settings;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/** The types of values that settings have. */
public final class ValueTypes {
    private static final int MAX_NAME_LENGTH = 40;
    private static final int MAX_DIGITS = 18;

    /** A name of a process, group or failure domain. */
    public static final ValueType<String> NAME =
            new ValueType<>(
                    "1 to " + MAX_NAME_LENGTH + " letters, digits, '.', '_' or '-'",
                    ValueTypes::name);

    /** An address to listen on or to connect to. */
    public static final ValueType<Address> ADDRESS =
            new ValueType<>("IP:PORT with an IP number", Address::parse);

    /** Addresses of control processes. */
    public static final ValueType<List<NodeAddress>> NODES =
            new ValueType<>(
                    "one or more ID@IP:PORT with IP numbers, separated by commas, each ID once",
                    text -> list(text, NodeAddress::parse).flatMap(ValueTypes::distinct));

    /** A path in the file system. */
    public static final ValueType<Path> PATH = new ValueType<>("a path", ValueTypes::path);

    private ValueTypes() {}

    /** Returns the type of whole numbers from {@code min} to {@code max}. */
    public static ValueType<Long> number(long min, long max) {
        return new ValueType<>(min + " to " + max, text -> number(text, min, max));
    }

    /** Returns the type of numbers from {@code min} to {@code max} that may have a fraction. */
    public static ValueType<Double> decimal(double min, double max) {
        return new ValueType<>(
                format(min) + " to " + format(max) + ", also with a fraction",
                text -> decimal(text, min, max));
    }

    private static String format(double number) {
        return number == Math.rint(number) ? Long.toString((long) number) : "" + number;
    }

    private static Either<String, Double> decimal(String text, double min, double max) {
        if (text.length() > MAX_DIGITS || !text.matches("-?[0-9]+([.][0-9]+)?")) {
            return Either.left("'" + text + "' is no number");
        }
        double value = Double.parseDouble(text);
        return value >= min && value <= max
                ? Either.right(value)
                : Either.left(text + " is out of range");
    }

    private static Either<String, Long> number(String text, long min, long max) {
        int start = text.startsWith("-") ? 1 : 0;
        boolean digits = text.length() > start && text.length() <= MAX_DIGITS;
        for (int i = start; i < text.length(); i++) {
            digits &= text.charAt(i) >= '0' && text.charAt(i) <= '9';
        }
        if (!digits) {
            return Either.left("'" + text + "' is no whole number");
        }
        long value = Long.parseLong(text);
        return value >= min && value <= max
                ? Either.right(value)
                : Either.left(value + " is out of range");
    }

    private static Either<String, String> name(String text) {
        boolean valid = !text.isEmpty() && text.length() <= MAX_NAME_LENGTH;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            valid &= c < 128 && (Character.isLetterOrDigit(c) || "._-".indexOf(c) >= 0);
        }
        return valid ? Either.right(text) : Either.left("'" + text + "' is no valid name");
    }

    private static Either<String, Path> path(String text) {
        if (text.isEmpty()) {
            return Either.left("the path is empty");
        }
        try {
            return Either.right(Path.of(text));
        } catch (InvalidPathException e) {
            return Either.left("'" + text + "' is no path");
        }
    }

    private static <T> Either<String, List<T>> list(
            String text, Function<String, Either<String, T>> reader) {
        List<T> values = new ArrayList<>();
        for (String part : text.split(",", -1)) {
            Either<String, T> value = reader.apply(part.strip());
            if (value.isLeft()) {
                return Either.left(value.getLeft());
            }
            values.add(value.get());
        }
        return Either.right(List.copyOf(values));
    }

    private static Either<String, List<NodeAddress>> distinct(List<NodeAddress> nodes) {
        Set<String> seen = new HashSet<>();
        return Option.ofOptional(nodes.stream().filter(node -> !seen.add(node.id())).findFirst())
                .map(node -> Either.<String, List<NodeAddress>>left(node.id() + " occurs twice"))
                .getOrElse(Either.right(nodes));
    }
}
