package org.ragwortmoor.state.statement;

import io.vavr.control.Option;
import org.ragwortmoor.state.Position;

/** The text form TERM.NUMBER of a log position. */
public final class PositionField {
    /** Stands for a position that the answering process does not have. */
    public static final String NONE = "-";

    private PositionField() {}

    /** Returns the position in a field, or nothing if it names none. */
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
            // A field of another form names no position.
            return Option.none();
        }
    }

    /** Returns the field of a position. */
    public static String format(Position position) {
        return position.term() + "." + position.index();
    }

    /** Returns the field of a position that may be missing. */
    public static String format(Option<Position> position) {
        return position.map(PositionField::format).getOrElse(NONE);
    }
}
