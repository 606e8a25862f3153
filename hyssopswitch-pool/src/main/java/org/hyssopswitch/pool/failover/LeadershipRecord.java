package org.hyssopswitch.pool.failover;

/**
 * The promotion leader, as recorded in the store.
 *
 * @param holder name of the leader
 * @param epoch incremented with each change of the leader or of its process
 * @param promotions number of promotions ordered in the epoch; each one changes the record, so that a concurrent
 *     takeover fails
 */
public record LeadershipRecord(String holder, long epoch, long promotions) {

    /**
     * Number of fencing tokens in one epoch. With tokens of its own, a leader can order promotions while the store is
     * unavailable.
     */
    static final long TOKENS_PER_EPOCH = 100_000;

    /** Returns the fencing token of the latest promotion. */
    long fencingToken() {
        return epoch * TOKENS_PER_EPOCH + promotions;
    }

    /** Returns a copy with the given number of promotions. */
    LeadershipRecord withPromotions(long count) {
        return new LeadershipRecord(holder, epoch, count);
    }
}
