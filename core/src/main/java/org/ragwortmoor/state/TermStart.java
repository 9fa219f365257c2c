package org.ragwortmoor.state;

/**
 * The first entry that a term wrote to a log.
 *
 * @param term the term
 * @param index index of the entry that marks the start of the term
 */
public record TermStart(long term, long index) {}
