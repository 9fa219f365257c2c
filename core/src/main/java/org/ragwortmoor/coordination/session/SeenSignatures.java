package org.ragwortmoor.coordination.session;

import java.util.HashMap;
import java.util.Map;

/**
 * The signatures that one server connection has delivered, each with its statement.
 *
 * <p>None is forgotten, because a repetition may be late. Only hashes are kept, so the memory does
 * not depend on the length of signatures and statement ids.
 */
final class SeenSignatures {
    /** Number of signatures after which the connection is replaced, to bound the memory. */
    static final int MAX_SIGNATURES = 1_024;

    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final Map<Long, Long> statementBySignature = new HashMap<>();

    /** Records a signature; returns whether the connection had not delivered it. */
    boolean add(String signature, String statementId) {
        return statementBySignature.putIfAbsent(hash(signature), hash(statementId)) == null;
    }

    /** Returns whether a signature was delivered for a statement with this id. */
    boolean wasFor(String signature, String statementId) {
        Long statement = statementBySignature.get(hash(signature));
        return statement != null && statement == hash(statementId);
    }

    /** Returns whether no more signatures should be added. */
    boolean full() {
        return statementBySignature.size() >= MAX_SIGNATURES;
    }

    /** Returns the 64-bit FNV-1a hash; with 32 bits, collisions would be too frequent. */
    private static long hash(String text) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }
}
