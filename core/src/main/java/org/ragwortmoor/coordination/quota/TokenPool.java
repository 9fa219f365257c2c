package org.ragwortmoor.coordination.quota;

import java.util.concurrent.TimeUnit;

/** The tokens of a workspace: each is free, held by a proxy, or used within the last window. */
final class TokenPool {
    /** Fraction of the tokens that is not granted in advance. */
    private static final int RESERVE_DIVISOR = 5;

    /** Fraction of the free tokens that one report gets in advance beyond the reserve. */
    private static final int SCARCE_DIVISOR = 8;

    /** Minimum delay before an operation is tried again; bounds the reports of a busy workspace. */
    private static final long MIN_RETRY_MILLIS = 100;

    private final long useNanos;
    private final UseHistory uses = new UseHistory();
    private long tokens;
    private long held;
    private long grantedCount;
    private long refusedCount;

    TokenPool(long useNanos) {
        this.useNanos = useNanos;
    }

    /** Sets the number of tokens; if it is reduced, none are granted until enough are free. */
    void setTokens(long number) {
        tokens = number;
    }

    long tokens() {
        return tokens;
    }

    long held() {
        return held;
    }

    long used(long now) {
        return uses.total(now);
    }

    /** Counts tokens as held that a proxy reports to a new leader. */
    void adopt(long count) {
        held += count;
    }

    /** Counts held tokens as used; their use ended before {@code now}. */
    void use(long count, long now) {
        held -= count;
        uses.add(count, now + useNanos);
    }

    /** Counts uses of tokens that were not held in this epoch. */
    void addEarlierUses(long count, long now) {
        uses.add(count, now + useNanos);
    }

    /** Takes back unused tokens. */
    void giveBack(long count) {
        held -= count;
    }

    /**
     * Grants tokens to a proxy.
     *
     * @param needed tokens for operations that wait
     * @param advance tokens that the proxy wants in addition
     * @return number of granted tokens
     */
    long grant(long needed, long advance, long now) {
        long free = Math.max(0, tokens - held - used(now));
        long first = Math.min(needed, free);
        long rest = free - first;
        long spare = Math.max(rest - tokens / RESERVE_DIVISOR, rest / SCARCE_DIVISOR);
        long granted = first + Math.min(advance, spare);
        held += granted;
        grantedCount += granted;
        refusedCount += needed - first;
        return granted;
    }

    /** Returns the time until a number of tokens is expected to be free, in milliseconds. */
    int millisUntilFree(long count, long now) {
        long occupied = Math.max(0, held + used(now) - tokens);
        long nanos = uses.nanosUntil(occupied + count, now);
        long millis = TimeUnit.NANOSECONDS.toMillis(nanos < 0 ? useNanos : nanos);
        return (int) Math.max(MIN_RETRY_MILLIS, millis);
    }

    /** Returns the state for the state dump. */
    String describe(String name, long now) {
        return String.format(
                "quota workspace=%s tokens=%d used=%d held=%d free=%d granted=%d refused=%d",
                name,
                tokens,
                used(now),
                held,
                Math.max(0, tokens - held - used(now)),
                grantedCount,
                refusedCount);
    }
}
