package org.ragwortmoor.logging;

import org.slf4j.helpers.MessageFormatter;

/**
 * Formats log messages so that an argument stays inside its field.
 *
 * <p>Ids, reasons and signatures are bytes that callers and servers choose. Control characters and
 * quotes are escaped, an unquoted value with a space is quoted, and long values are cut off.
 */
final class LogMessage {
    /** Maximum number of characters of an argument; a statement may have 1 MiB. */
    private static final int MAX_ARGUMENT_CHARS = 1_024;

    private static final String PLACEHOLDER = "{}";
    private static final int FIRST_PRINTABLE = ' ';
    private static final int LAST_ASCII_PRINTABLE = '~';

    private LogMessage() {}

    /**
     * Replaces the placeholders of a message.
     *
     * @param message format; a placeholder inside quotes or after {@code =} is a field
     * @param arguments arguments, or null if there are none
     */
    static String format(String message, Object[] arguments) {
        if (arguments == null || arguments.length == 0) {
            return message;
        }
        StringBuilder line = new StringBuilder();
        int from = 0;
        int next = 0;
        int at = message.indexOf(PLACEHOLDER);
        while (at >= 0 && next < arguments.length) {
            line.append(message, from, at);
            append(line, text(arguments[next++]));
            from = at + PLACEHOLDER.length();
            at = message.indexOf(PLACEHOLDER, from);
        }
        return line.append(message, from, message.length()).toString();
    }

    private static String text(Object argument) {
        return argument instanceof String text
                ? text
                : MessageFormatter.format(PLACEHOLDER, argument).getMessage();
    }

    private static void append(StringBuilder line, String text) {
        char before = line.isEmpty() ? ' ' : line.charAt(line.length() - 1);
        if (before == '=' && (text.indexOf(' ') >= 0 || text.indexOf('"') >= 0)) {
            line.append('"').append(escape(text, true)).append('"');
        } else {
            line.append(escape(text, before == '=' || before == '"'));
        }
    }

    /** Returns the text without control characters, and without quotes if it is part of a field. */
    static String escape(String text, boolean inField) {
        StringBuilder escaped = new StringBuilder();
        int length = Math.min(text.length(), MAX_ARGUMENT_CHARS);
        for (int i = 0; i < length; i++) {
            char c = text.charAt(i);
            if (inField && (c == '"' || c == '\\')) {
                escaped.append('\\').append(c);
            } else if (printable(c)) {
                escaped.append(c);
            } else {
                escaped.append(String.format("\\u%04x", (int) c));
            }
        }
        if (length < text.length()) {
            escaped.append("...");
        }
        return escaped.toString();
    }

    private static boolean printable(char c) {
        return (c >= FIRST_PRINTABLE && c <= LAST_ASCII_PRINTABLE) || Character.isLetterOrDigit(c);
    }
}
