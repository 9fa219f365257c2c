package org.ragwortmoor.protocol;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import org.ragwortmoor.state.statement.MessageKind;
import org.ragwortmoor.state.statement.StatementMessage;

/**
 * Converts messages of the statement protocol to lines and back. A line has the kind and its
 * fields, separated by blanks; the last field extends to the end of the line.
 */
public final class StatementCodec {
    /** Largest size of a line in bytes, without its end; stated by the protocol. */
    public static final int MAX_LINE_BYTES = 1 << 20;

    /** Ends a line. */
    public static final String LINE_END = "\r\n";

    private StatementCodec() {}

    /** Returns the line of a message, with its end. */
    public static String encode(StatementMessage message) {
        StringBuilder line = new StringBuilder(message.kind().name());
        message.fields().forEach(field -> line.append(' ').append(field));
        return line.append(LINE_END).toString();
    }

    /** Returns the message of a line without its end, or what is wrong with it. */
    public static Either<String, StatementMessage> decode(String line) {
        int blank = line.indexOf(' ');
        String name = blank < 0 ? line : line.substring(0, blank);
        Option<MessageKind> kind = MessageKind.fromName(name);
        if (kind.isEmpty()) {
            return Either.left("there is no message kind with this name");
        }
        List<String> fields = new ArrayList<>();
        int start = blank < 0 ? line.length() : blank + 1;
        boolean more = blank >= 0;
        while (more && fields.size() < kind.get().fields()) {
            int next = fields.size() + 1 == kind.get().fields() ? -1 : line.indexOf(' ', start);
            fields.add(next < 0 ? line.substring(start) : line.substring(start, next));
            more = next >= 0;
            start = next + 1;
        }
        return Either.right(new StatementMessage(kind.get(), fields));
    }
}
