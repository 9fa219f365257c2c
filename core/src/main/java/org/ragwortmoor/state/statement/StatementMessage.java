package org.ragwortmoor.state.statement;

import java.util.List;

/**
 * A message of the statement protocol.
 *
 * @param kind kind of the message
 * @param fields fields, of which only the last one may contain spaces; each character, up to
 *     U+00FF, stands for one byte
 */
public record StatementMessage(MessageKind kind, List<String> fields) {
    /** Maximum size of a message in bytes, without the line end, as defined by the protocol. */
    public static final int MAX_BYTES = 1 << 20;

    /** Copies the fields. */
    public StatementMessage {
        fields = List.copyOf(fields);
    }

    /** Returns a message with these fields. */
    public static StatementMessage of(MessageKind kind, String... fields) {
        return new StatementMessage(kind, List.of(fields));
    }

    /** Returns the field at {@code index}, or an empty string if the message has fewer fields. */
    public String field(int index) {
        return index < fields.size() ? fields.get(index) : "";
    }
}
