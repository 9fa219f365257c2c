package org.ragwortmoor.coordination.quota;

/** The tokens of a workspace that a proxy holds, as the leader knows. */
final class HeldTokens {
    private final TokenPool pool;
    private long adopted;
    private long granted;
    private long used;
    private long returned;
    private long acknowledged;

    HeldTokens(TokenPool pool) {
        this.pool = pool;
    }

    TokenPool pool() {
        return pool;
    }

    /** Returns the tokens that the proxy holds or that are on their way to it. */
    long held() {
        return adopted + granted - used - returned;
    }

    long granted() {
        return granted;
    }

    /** Returns whether a report has shown that the proxy knows of all grants. */
    boolean grantsAcknowledged() {
        return acknowledged == granted;
    }

    /** Adopts what the proxy states in its first report of the epoch. */
    void adopt(WorkspaceUsage usage, long now) {
        adopted = (long) usage.available() + usage.usedTotal() + usage.returnedTotal();
        used = usage.usedTotal();
        returned = usage.returnedTotal();
        pool.adopt(held());
        pool.addEarlierUses(usage.recentUsed(), now);
    }

    /** Records the totals of a later report. */
    void record(WorkspaceUsage usage, long now) {
        long newlyUsed = Math.max(0, usage.usedTotal() - used);
        long newlyReturned = Math.max(0, usage.returnedTotal() - returned);
        used += newlyUsed;
        returned += newlyReturned;
        acknowledged =
                Math.max(
                        acknowledged,
                        usage.available() + usage.usedTotal() + usage.returnedTotal() - adopted);
        pool.use(newlyUsed, now);
        pool.giveBack(newlyReturned);
    }

    /** Grants tokens; returns how many. */
    long grant(long needed, long advance, long now) {
        long added = pool.grant(needed, advance, now);
        granted += added;
        return added;
    }

    /** Counts all held tokens as used, because the lease of the proxy has ended. */
    void takeBack(long now) {
        pool.use(held(), now);
        used += held();
    }
}
