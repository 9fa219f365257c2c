package org.ragwortmoor.state.rules;

/**
 * A word of a line.
 *
 * @param text text without quotes and escapes
 * @param column column of its first character, starting at 1
 */
record Word(String text, int column) {}
