package org.ragwortmoor.state.rules;

/** Quotes words for the rule file where necessary. */
final class Quoting {
    private Quoting() {}

    /** Returns {@code word}, in quotes if it could not be parsed as one word without them. */
    static String quote(String word) {
        boolean bare = !word.isEmpty();
        for (int i = 0; i < word.length(); i++) {
            bare &= " \t#\"".indexOf(word.charAt(i)) < 0;
        }
        return bare ? word : '"' + word.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }
}
