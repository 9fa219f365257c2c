package org.ragwortmoor.state.log;

import com.google.protobuf.ByteString;

/**
 * The state after all entries up to an index.
 *
 * @param index last included index
 * @param term term of the last included entry
 * @param configuration configuration in force at the index
 * @param data state of the replicated state machine
 */
public record Snapshot(long index, long term, Configuration configuration, ByteString data) {}
