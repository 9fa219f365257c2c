package org.ragwortmoor.state.rules;

/**
 * A word or comment of a line.
 *
 * @param text unquoted and unescaped text
 * @param column column of its first character, starting at 1
 */
record Word(String text, int column) {}
