package org.hyssopswitch.core.failover;

/**
 * A period in which one process holds the promotion leadership, and the fencing tokens that only this process may use.
 *
 * <p>The epoch is taken by a conditional write to the store. A store that comes back from a copy can give out an epoch
 * again, so the era of the store, which never falls, ranks above it.
 *
 * @param era era of the store in which the leadership was taken, 0 or more
 * @param epoch number of the leadership within the era, at least 0 and below {@link #EPOCHS_PER_ERA}
 */
public record LeadershipTerm(long era, long epoch) implements Comparable<LeadershipTerm> {

    /** Number of epochs in one era. */
    public static final long EPOCHS_PER_ERA = 10_000_000;

    /**
     * Number of fencing tokens in one epoch. With tokens of its own, a leader can order promotions while the store is
     * unavailable.
     */
    public static final long TOKENS_PER_EPOCH = 100_000;

    /** Checks the ranges. */
    public LeadershipTerm {
        if (era < 0 || epoch < 0 || epoch >= EPOCHS_PER_ERA) {
            throw new IllegalArgumentException("era " + era + " must be 0 or more and epoch " + epoch
                    + " must be between 0 and " + EPOCHS_PER_ERA);
        }
    }

    /** Returns a number that orders terms by era and then by epoch. */
    public long number() {
        return Math.addExact(Math.multiplyExact(era, EPOCHS_PER_ERA), epoch);
    }

    /**
     * Returns the term that a process takes in an era, above this one.
     *
     * @param currentEra era of the store, not below this term's
     */
    public LeadershipTerm next(long currentEra) {
        return new LeadershipTerm(currentEra, epoch + 1);
    }

    /**
     * Returns a fencing token of this term, above all tokens of lower terms.
     *
     * @param count number of the token within the term, at least 0 and below {@link #TOKENS_PER_EPOCH}
     */
    public long fencingToken(long count) {
        if (count < 0 || count >= TOKENS_PER_EPOCH) {
            throw new IllegalArgumentException("token " + count + " must be between 0 and " + TOKENS_PER_EPOCH);
        }
        return Math.addExact(Math.multiplyExact(number(), TOKENS_PER_EPOCH), count);
    }

    @Override
    public int compareTo(LeadershipTerm other) {
        return Long.compare(number(), other.number());
    }
}
