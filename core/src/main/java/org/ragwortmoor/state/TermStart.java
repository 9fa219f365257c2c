package org.ragwortmoor.state;

/**
 * The first entry that a term wrote to a log.
 *
 * @param term the term
 * @param index index of the term-start entry
 */
public record TermStart(long term, long index) {}
