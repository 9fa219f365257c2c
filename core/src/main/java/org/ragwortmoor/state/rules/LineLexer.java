package org.ragwortmoor.state.rules;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;

/** Splits one line of the rule file into words and comment. */
final class LineLexer {
    private final String text;
    private final List<Word> words = new ArrayList<>();
    private Option<Word> comment = Option.none();
    private Option<LexedLine.LexError> error = Option.none();
    private int offset;

    private LineLexer(String text) {
        this.text = text;
    }

    /** Returns whether a line contains no rule because it is blank or only a comment. */
    static boolean isBlankOrComment(String text) {
        for (int i = 0; i < text.length(); i++) {
            if (!isSeparator(text.charAt(i))) {
                return text.charAt(i) == '#';
            }
        }
        return true;
    }

    /** Splits the line with number {@code line}. */
    static LexedLine lex(int line, String text) {
        LineLexer lexer = new LineLexer(text);
        lexer.error = unreadableCharacter(text);
        while (lexer.error.isEmpty() && lexer.comment.isEmpty() && lexer.offset < text.length()) {
            lexer.readNext();
        }
        return new LexedLine(
                line, text.length(), List.copyOf(lexer.words), lexer.comment, lexer.error);
    }

    private void readNext() {
        char c = text.charAt(offset);
        if (isSeparator(c)) {
            offset++;
        } else if (c == '#') {
            comment = Option.of(new Word(text.substring(offset), offset + 1));
        } else {
            readWord();
        }
    }

    private void readWord() {
        int start = offset;
        StringBuilder word = new StringBuilder();
        while (offset < text.length() && !isSeparator(text.charAt(offset)) && error.isEmpty()) {
            char c = text.charAt(offset);
            if (c == '"') {
                readQuoted(word);
            } else if (c == '#') {
                fail(
                        offset,
                        "a # stands inside a word",
                        "put a space before the comment, or the word in quotes");
            } else {
                word.append(c);
                offset++;
            }
        }
        words.add(new Word(word.toString(), start + 1));
    }

    private void readQuoted(StringBuilder word) {
        int start = offset++;
        while (offset < text.length() && text.charAt(offset) != '"') {
            if (text.charAt(offset) == '\\') {
                offset++;
                if (offset < text.length() && "\\\"".indexOf(text.charAt(offset)) < 0) {
                    fail(
                            offset - 1,
                            "unknown escape in quotes",
                            "use only \\\\ and \\\" in quotes");
                    return;
                }
            }
            if (offset < text.length()) {
                word.append(text.charAt(offset++));
            }
        }
        if (offset >= text.length()) {
            fail(start, "the quote is not closed", "close it with \" on the same line");
            return;
        }
        offset++;
    }

    private void fail(int errorOffset, String message, String remedy) {
        error = Option.of(new LexedLine.LexError(errorOffset + 1, message, remedy));
    }

    private static boolean isSeparator(char c) {
        return c == ' ' || c == '\t';
    }

    /**
     * Finds characters that are invisible or look like others. With them, a line could have another
     * meaning than the one that it displays.
     */
    private static Option<LexedLine.LexError> unreadableCharacter(String text) {
        int i = 0;
        while (i < text.length()) {
            int c = text.codePointAt(i);
            if (c != ' ' && c != '\t' && isUnreadable(c)) {
                return Option.of(
                        new LexedLine.LexError(
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
