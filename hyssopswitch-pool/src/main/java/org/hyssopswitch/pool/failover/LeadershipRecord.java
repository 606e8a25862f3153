package org.hyssopswitch.pool.failover;

/**
 * Who may order promotions, as recorded in the store.
 *
 * @param holder name of the VM
 * @param epoch grows by one with each change of the holder or of its process
 * @param promotions number of promotions ordered in the epoch; makes each order visible to a VM that is about to take over
 */
public record LeadershipRecord(String holder, long epoch, long promotions) {

    /** Fencing tokens of one epoch, so that a holder can order promotions while the store is away. */
    static final long TOKENS_PER_EPOCH = 100_000;

    /** The fencing token of the latest promotion. */
    long fencingToken() {
        return epoch * TOKENS_PER_EPOCH + promotions;
    }

    /** The record after a number of promotions. */
    LeadershipRecord withPromotions(long count) {
        return new LeadershipRecord(holder, epoch, count);
    }
}
