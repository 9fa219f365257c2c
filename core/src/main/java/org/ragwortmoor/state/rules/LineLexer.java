package org.ragwortmoor.state.rules;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;

/** Splits one line of the rule file into words and comment. */
final class LineLexer {
    private final String text;
    private final List<Word> words = new ArrayList<>();
    private Option<Word> comment = Option.none();
    private Option<Statement.Fault> fault = Option.none();
    private int at;

    private LineLexer(String text) {
        this.text = text;
    }

    /** Returns whether a line holds no rule: it is blank or a comment only. */
    static boolean holdsNoRule(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (!isSeparator(text.charAt(i))) {
                return text.charAt(i) == '#';
            }
        }
        return true;
    }

    /** Splits the line with number {@code line}. */
    static Statement lex(int line, String text) {
        LineLexer lexer = new LineLexer(text);
        lexer.fault = unreadableCharacter(text);
        while (lexer.fault.isEmpty() && lexer.comment.isEmpty() && lexer.at < text.length()) {
            lexer.next();
        }
        return new Statement(
                line, text.length(), List.copyOf(lexer.words), lexer.comment, lexer.fault);
    }

    private void next() {
        char c = text.charAt(at);
        if (isSeparator(c)) {
            at++;
        } else if (c == '#') {
            comment = Option.of(new Word(text.substring(at), at + 1));
        } else {
            word();
        }
    }

    private void word() {
        int start = at;
        StringBuilder word = new StringBuilder();
        while (at < text.length() && !isSeparator(text.charAt(at)) && fault.isEmpty()) {
            char c = text.charAt(at);
            if (c == '"') {
                quoted(word);
            } else if (c == '#') {
                fail(
                        at,
                        "a # stands inside a word",
                        "put a space before the comment, or the word in quotes");
            } else {
                word.append(c);
                at++;
            }
        }
        words.add(new Word(word.toString(), start + 1));
    }

    private void quoted(StringBuilder word) {
        int start = at++;
        while (at < text.length() && text.charAt(at) != '"') {
            if (text.charAt(at) == '\\') {
                at++;
                if (at < text.length() && "\\\"".indexOf(text.charAt(at)) < 0) {
                    fail(at - 1, "unknown escape in quotes", "use only \\\\ and \\\" in quotes");
                    return;
                }
            }
            if (at < text.length()) {
                word.append(text.charAt(at++));
            }
        }
        if (at >= text.length()) {
            fail(start, "the quote is not closed", "close it with \" on the same line");
            return;
        }
        at++;
    }

    private void fail(int offset, String message, String remedy) {
        fault = Option.of(new Statement.Fault(offset + 1, message, remedy));
    }

    private static boolean isSeparator(char c) {
        return c == ' ' || c == '\t';
    }

    /**
     * Finds characters that a reader cannot see or tell from others. They would let a line state
     * something else than it shows.
     */
    private static Option<Statement.Fault> unreadableCharacter(String text) {
        int i = 0;
        while (i < text.length()) {
            int c = text.codePointAt(i);
            if (c != ' ' && c != '\t' && isUnreadable(c)) {
                return Option.of(
                        new Statement.Fault(
                                i + 1,
                                String.format("unreadable character U+%04X", c),
                                "remove it or put an ordinary space in its place"));
            }
            i += Character.charCount(c);
        }
        return Option.none();
    }

    private static boolean isUnreadable(int c) {
        return switch (Character.getType(c)) {
            case Character.CONTROL,
                    Character.FORMAT,
                    Character.SURROGATE,
                    Character.LINE_SEPARATOR,
                    Character.PARAGRAPH_SEPARATOR,
                    Character.SPACE_SEPARATOR ->
                    true;
            default -> false;
        };
    }
}
