package org.ragwortmoor.state.rules;

/** Quotes words of the rule file that contain separators. */
final class Quoting {
    private Quoting() {}

    /** Returns {@code word}, in quotes if it would not be read back as one word without them. */
    static String quote(String word) {
        boolean bare = !word.isEmpty();
        for (int i = 0; i < word.length(); i++) {
            bare &= " \t#\"".indexOf(word.charAt(i)) < 0;
        }
        return bare ? word : '"' + word.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }
}
