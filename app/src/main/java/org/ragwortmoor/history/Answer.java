package org.ragwortmoor.history;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.vavr.control.Option;
import java.util.List;
import org.ragwortmoor.state.Position;

/**
 * What a caller was answered.
 *
 * @param outcome outcome as stated; {@code UNKNOWN} if there was no answer
 * @param error error kind; null without an error
 * @param records records that were returned, in order
 * @param position {@code term:index} in the log of the group; null if none was stated
 * @param endpoint endpoint that executed the request; null if none was stated
 * @param replica whether that endpoint was a replica
 * @param duplicate whether the answer says that an earlier execution was found
 * @param key idempotency key in the answer; null if none was stated
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record Answer(
        Outcome outcome,
        String error,
        List<Returned> records,
        String position,
        String endpoint,
        boolean replica,
        boolean duplicate,
        String key) {
    /**
     * A record in an answer.
     *
     * @param key key as answered
     * @param value value; null if there is no such record
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Returned(String key, String value) {}

    /** Copies the list. */
    public Answer {
        records = records == null ? List.of() : List.copyOf(records);
    }

    /** Returns an answer without records, position or endpoint. */
    public static Answer of(Outcome outcome, String error) {
        return new Answer(outcome, error, List.of(), null, null, false, false, null);
    }

    /** Returns the answer of an execution at a position. */
    public static Answer done(List<Returned> records, String position, String key) {
        return new Answer(Outcome.DONE, null, records, position, null, false, false, key);
    }

    /** Returns the position in the log, or none if none was stated. */
    Option<Position> logPosition() {
        if (position == null || position.indexOf(':') < 1) {
            return Option.none();
        }
        int colon = position.indexOf(':');
        Position found =
                new Position(
                        Long.parseLong(position.substring(0, colon)),
                        Long.parseLong(position.substring(colon + 1)));
        return Option.of(found).filter(p -> p.index() > 0);
    }
}
