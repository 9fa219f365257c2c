package org.ragwortmoor.protocol;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.ragwortmoor.state.statement.MessageKind;
import org.ragwortmoor.state.statement.StatementMessage;

/**
 * Converts messages of the statement protocol to and from lines. A line consists of the kind and
 * the fields, separated by spaces; the last field extends to the end of the line.
 */
public final class StatementCodec {
    /** Maximum size of a line in bytes, without the line end. */
    public static final int MAX_LINE_BYTES = StatementMessage.MAX_BYTES;

    /** Line end of the protocol. */
    public static final String LINE_END = "\r\n";

    private StatementCodec() {}

    /** Encodes a message as a line, including the line end. */
    public static String encode(StatementMessage message) {
        StringBuilder line = new StringBuilder(message.kind().name());
        message.fields().forEach(field -> line.append(' ').append(field));
        return line.append(LINE_END).toString();
    }

    /** Decodes a line without the line end; returns an error message if it is malformed. */
    public static Either<String, StatementMessage> decode(String line) {
        int space = line.indexOf(' ');
        String name = space < 0 ? line : line.substring(0, space);
        Option<MessageKind> kind = MessageKind.fromName(name);
        if (kind.isEmpty()) {
            return Either.left("there is no message kind with this name");
        }
        List<String> fields = new ArrayList<>();
        int start = space < 0 ? line.length() : space + 1;
        boolean more = space >= 0;
        while (more && fields.size() < kind.get().fields()) {
            int next = fields.size() + 1 == kind.get().fields() ? -1 : line.indexOf(' ', start);
            fields.add(next < 0 ? line.substring(start) : line.substring(start, next));
            more = next >= 0;
            start = next + 1;
        }
        return Either.right(new StatementMessage(kind.get(), fields));
    }
}
