package org.ragwortmoor.load;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.ragwortmoor.settings.Address;
import org.ragwortmoor.settings.ValueType;
import org.ragwortmoor.settings.ValueTypes;

/** Types of values that only the settings of a workload have. */
final class LoadTypes {
    /** Word for an empty list; settings have no empty values. */
    static final String NONE = FaultPlan.NONE;

    static final ValueType<Deployment> DEPLOYMENT =
            new ValueType<>("none, carritos or speelrooster", Deployment::parse);
    static final ValueType<Boolean> SWITCH =
            new ValueType<>("on or off", text -> choice(text, "on", "off").map("on"::equals));
    static final ValueType<List<Address>> ADDRESSES =
            new ValueType<>(
                    "none, or one or more IP:PORT with IP numbers, separated by commas",
                    text -> list(text, Address::parse));
    static final ValueType<List<String>> NAMES =
            new ValueType<>(
                    "none, or one or more names, separated by commas",
                    text -> list(text, ValueTypes.NAME::parse));
    static final ValueType<List<FaultPlan>> FAULTS =
            new ValueType<>(
                    "none, or AT:KIND:TARGET[:FOR] with times in ms, separated by commas; KIND is"
                            + " kill, freeze, silent, cut or leaving",
                    FaultPlan::parse);

    private LoadTypes() {}

    private static Either<String, String> choice(String text, String... choices) {
        return List.of(choices).contains(text)
                ? Either.right(text)
                : Either.left("'" + text + "' is not " + String.join(" or ", choices));
    }

    private static <T> Either<String, List<T>> list(
            String text, Function<String, Either<String, T>> reader) {
        List<T> values = new ArrayList<>();
        if (text.equals(NONE)) {
            return Either.right(List.of());
        }
        for (String part : text.split(",", -1)) {
            Either<String, T> value = reader.apply(part.strip());
            if (value.isLeft()) {
                return Either.left(value.getLeft());
            }
            values.add(value.get());
        }
        return Either.right(List.copyOf(values));
    }
}
