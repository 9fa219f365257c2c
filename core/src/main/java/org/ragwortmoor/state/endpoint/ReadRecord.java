package org.ragwortmoor.state.endpoint;

import io.vavr.control.Option;

/**
 * A record that was read from an endpoint.
 *
 * @param key key of the record
 * @param value value of the record; empty if there is no such record
 */
public record ReadRecord(String key, Option<String> value) {}
