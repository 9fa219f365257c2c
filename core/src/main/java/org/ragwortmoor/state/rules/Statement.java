package org.ragwortmoor.state.rules;

import io.vavr.control.Option;
import java.util.List;

/**
 * A line split into words.
 *
 * @param line number of the line, starting at 1
 * @param length length of the line in UTF-16 characters
 * @param words words in front of the comment
 * @param comment comment with its {@code #}, if there is one
 * @param fault why the line could not be split, if so
 */
record Statement(
        int line, int length, List<Word> words, Option<Word> comment, Option<Fault> fault) {
    /** A place at which the line cannot be read. */
    record Fault(int column, String message, String remedy) {}

    /** Returns the keyword, if the line can be read and starts with a known one. */
    Option<Keyword> keyword() {
        return fault.isDefined() || words.isEmpty()
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

    /** Returns the column of the word at {@code index} or, if there is none, behind the words. */
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
