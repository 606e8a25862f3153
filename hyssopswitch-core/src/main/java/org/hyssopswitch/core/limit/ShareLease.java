package org.hyssopswitch.core.limit;

import org.hyssopswitch.core.identity.ClientAccountId;

/**
 * A share granted to a holder; it replaces the share held before.
 *
 * @param account the client account
 * @param epoch epoch of the slot
 * @param grant number that increases with every grant and recall to this holder
 * @param rate statements per second
 * @param burst tokens that the holder may accumulate
 * @param tokens tokens transferred with the grant
 * @param durationMillis duration of the lease, which the holder counts from the sending of its request
 */
public record ShareLease(
        ClientAccountId account,
        long epoch,
        long grant,
        double rate,
        double burst,
        double tokens,
        long durationMillis) {

    /** Checks that no number is negative. */
    public ShareLease {
        double smallest = Math.min(Math.min(rate, burst), tokens);
        if (!(smallest >= 0) || durationMillis < 0) {
            throw new IllegalArgumentException("the numbers of a share of " + account
                    + " must not be negative, but the smallest of its amounts is " + smallest + " and its duration "
                    + durationMillis + " ms");
        }
    }
}
