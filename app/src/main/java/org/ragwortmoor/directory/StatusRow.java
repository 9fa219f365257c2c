package org.ragwortmoor.directory;

import io.vavr.control.Option;
import org.ragwortmoor.coordination.directory.ServerStatus;
import org.ragwortmoor.state.Position;
import org.ragwortmoor.state.statement.PositionField;

/**
 * Reads the row with which a server answers STATUS, SUSPEND, RESUME and STEPDOWN: role, term,
 * received position and suspended term, separated by blanks; further fields are ignored.
 */
final class StatusRow {
    private static final String PRIMARY = "primary";
    private static final String REPLICA = "replica";
    private static final int ROLE = 0;
    private static final int TERM = 1;
    private static final int RECEIVED = 2;
    private static final int SUSPENDED_TERM = 3;

    private StatusRow() {}

    /** Returns the status in a row, or none if the row cannot be read. */
    static Option<ServerStatus> parse(String row) {
        String[] fields = row.split(" ");
        if (fields.length <= SUSPENDED_TERM
                || !(fields[ROLE].equals(PRIMARY) || fields[ROLE].equals(REPLICA))) {
            return Option.none();
        }
        try {
            long term = Long.parseLong(fields[TERM]);
            long suspendedTerm = Long.parseLong(fields[SUSPENDED_TERM]);
            Option<Position> position =
                    fields[RECEIVED].equals(PositionField.NONE)
                            ? Option.some(Position.ZERO)
                            : PositionField.parse(fields[RECEIVED]);
            return position.map(
                    received ->
                            new ServerStatus(
                                    fields[ROLE].equals(PRIMARY), term, received, suspendedTerm));
        } catch (NumberFormatException e) {
            // The caller logs the row that it cannot use.
            return Option.none();
        }
    }
}
