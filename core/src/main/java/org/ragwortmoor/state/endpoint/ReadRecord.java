package org.ragwortmoor.state.endpoint;

import io.vavr.control.Option;

/**
 * A record as read from an endpoint.
 *
 * @param key key of the record
 * @param value its value; empty if there is no such record
 */
public record ReadRecord(String key, Option<String> value) {}
