package org.hyssopswitch.pool.failover;

import org.hyssopswitch.core.failover.LeadershipTerm;

/**
 * The promotion leader, as recorded in the store.
 *
 * @param holder name of the leader
 * @param epoch incremented with each change of the leader or of its process
 * @param promotions number of promotions ordered in the epoch; each one changes the record, so that a concurrent
 *     takeover fails
 * @param era era of the store in which the leadership was taken, 0 where the store reports none
 */
public record LeadershipRecord(String holder, long epoch, long promotions, long era) {

    /** Returns the term of the leadership. */
    LeadershipTerm term() {
        return new LeadershipTerm(era, epoch);
    }

    /** Returns the fencing token of the latest promotion. */
    long fencingToken() {
        return term().fencingToken(promotions);
    }

    /** Returns a copy with the given number of promotions. */
    LeadershipRecord withPromotions(long count) {
        return new LeadershipRecord(holder, epoch, count, era);
    }
}
