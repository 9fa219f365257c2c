package org.ragwortmoor.state.statement;

import io.vavr.control.Option;
import org.ragwortmoor.state.Position;

/** Converts log positions to and from message fields of the form {@code TERM.INDEX}. */
public final class PositionField {
    /** Field value that stands for a missing position. */
    public static final String NONE = "-";

    private PositionField() {}

    /** Returns the position in a field, if it has the form of a position. */
    public static Option<Position> parse(String field) {
        int dot = field.indexOf('.');
        try {
            return dot <= 0
                    ? Option.none()
                    : Option.some(
                            new Position(
                                    Long.parseLong(field.substring(0, dot)),
                                    Long.parseLong(field.substring(dot + 1))));
        } catch (IllegalArgumentException e) {
            // The field does not have the form of a position.
            return Option.none();
        }
    }

    /** Returns the field value for a position. */
    public static String format(Position position) {
        return position.term() + "." + position.index();
    }

    /** Returns the field value for a position that may be missing. */
    public static String format(Option<Position> position) {
        return position.map(PositionField::format).getOrElse(NONE);
    }
}
