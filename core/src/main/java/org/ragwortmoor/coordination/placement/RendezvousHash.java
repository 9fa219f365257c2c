package org.ragwortmoor.coordination.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Ranks members for a key by weighted rendezvous hashing (highest random weight).
 *
 * <p>Every process that knows the same members computes the same ranking. If a member comes or
 * goes, only the keys that it ranks highest for move. The score of a member with weight {@code w}
 * is {@code -w / ln(u)}, where {@code u} is a hash of the key and the member, uniform in (0, 1), so
 * the share of keys of each member is proportional to its weight.
 */
final class RendezvousHash {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;
    private static final int DOUBLE_MANTISSA_BITS = 53;

    private RendezvousHash() {}

    /**
     * Returns the members in descending order of their score.
     *
     * @param weights weight of each member; members whose weight is not positive are left out
     */
    static List<String> rank(String key, Map<String, Double> weights) {
        Map<String, Double> scores = new HashMap<>();
        weights.forEach(
                (member, weight) -> {
                    if (weight > 0) {
                        scores.put(member, weight / -Math.log(uniform(hash(key, member))));
                    }
                });
        List<String> ranked = new ArrayList<>(scores.keySet());
        ranked.sort(
                Comparator.comparing((String member) -> -scores.get(member))
                        .thenComparing(Comparator.naturalOrder()));
        return ranked;
    }

    /** Returns a hash of two texts that does not depend on the process. */
    static long hash(String key, String member) {
        long hash = FNV_OFFSET_BASIS;
        String text = key + '\n' + member;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        // The finalizer of SplitMix64; FNV alone mixes the high bits poorly.
        hash = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
        hash = (hash ^ (hash >>> 27)) * 0x94d049bb133111ebL;
        return hash ^ (hash >>> 31);
    }

    private static double uniform(long hash) {
        long mantissa = hash >>> (Long.SIZE - DOUBLE_MANTISSA_BITS);
        return (mantissa + 0.5) / (1L << DOUBLE_MANTISSA_BITS);
    }
}
