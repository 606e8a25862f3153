package org.hyssopswitch.core.limit;

import org.hyssopswitch.core.identity.ClientAccountId;

/**
 * A holder's report on one client account to the lender.
 *
 * @param account the client account
 * @param epoch epoch of the slot in which the held share was granted; 0 when none is held
 * @param appliedGrant number of the last grant or recall that the holder applied in that epoch
 * @param rate statements per second that the holder may admit now
 * @param burst tokens that the holder may accumulate now
 * @param reservedTokens room that the holder keeps free for tokens in the answer
 * @param returnedTokens tokens that the holder gives back with this message
 * @param demand statements per second that arrive at the holder
 * @param wantedTokens tokens that the holder lacks for statements that are waiting or will arrive before its next
 *     request
 */
public record ShareReport(
        ClientAccountId account,
        long epoch,
        long appliedGrant,
        double rate,
        double burst,
        double reservedTokens,
        double returnedTokens,
        double demand,
        double wantedTokens) {

    /** Checks that no number is negative. */
    public ShareReport {
        double smallest = Math.min(Math.min(rate, burst), Math.min(reservedTokens, returnedTokens));
        if (!(Math.min(smallest, Math.min(demand, wantedTokens)) >= 0) || epoch < 0 || appliedGrant < 0) {
            throw new IllegalArgumentException("the numbers of a report on " + account
                    + " must not be negative, but the smallest of its amounts is " + smallest
                    + " and the epoch and grant are "
                    + epoch + " and " + appliedGrant);
        }
    }
}
