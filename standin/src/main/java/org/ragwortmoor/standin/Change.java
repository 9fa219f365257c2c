package org.ragwortmoor.standin;

import io.vavr.control.Option;

/**
 * A change of one record.
 *
 * @param key key of the record
 * @param value new value; empty to remove the record
 */
public record Change(String key, Option<String> value) {}
