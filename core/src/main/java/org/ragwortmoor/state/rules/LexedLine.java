package org.ragwortmoor.state.rules;

import io.vavr.control.Option;
import java.util.List;

/**
 * A line split into words.
 *
 * @param line number of the line, starting at 1
 * @param length length of the line in UTF-16 characters
 * @param words words before the comment
 * @param comment comment with its {@code #}, if there is one
 * @param lexError reason why the line could not be split into words, if so
 */
record LexedLine(
        int line, int length, List<Word> words, Option<Word> comment, Option<LexError> lexError) {
    /** The column at which the line cannot be split into words, with the reason and remedy. */
    record LexError(int column, String message, String remedy) {}

    /** Returns the keyword, if the line could be split and starts with a known one. */
    Option<Keyword> keyword() {
        return lexError.isDefined() || words.isEmpty()
                ? Option.none()
                : Keyword.parse(words.get(0).text());
    }

    /** Returns the keyword, if it is known and has the right number of arguments. */
    Option<Keyword> completeKeyword() {
        return keyword().filter(k -> words.size() == k.parameters().size() + 1);
    }

    /** Returns the text of the word at {@code index}; 0 is the keyword. */
    String text(int index) {
        return words.get(index).text();
    }

    /**
     * Returns the column of the word at {@code index} or, if there is none, the column of the
     * comment or of the end of the line.
     */
    int column(int index) {
        return index < words.size()
                ? words.get(index).column()
                : comment.map(Word::column).getOrElse(length + 1);
    }

    RuleProblem error(String check, int column, String message, String remedy) {
        return new RuleProblem(RuleProblem.Severity.ERROR, check, line, column, message, remedy);
    }

    RuleProblem warning(String check, int column, String message, String remedy) {
        return new RuleProblem(RuleProblem.Severity.WARNING, check, line, column, message, remedy);
    }
}
