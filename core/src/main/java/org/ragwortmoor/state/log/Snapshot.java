package org.ragwortmoor.state.log;

import com.google.protobuf.ByteString;

/**
 * The state of the replicated state machine after all entries up to an index.
 *
 * @param index index of the last included entry
 * @param term term of the last included entry
 * @param configuration configuration in effect at the index
 * @param data encoded state
 */
public record Snapshot(long index, long term, Configuration configuration, ByteString data) {}
