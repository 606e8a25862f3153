package org.hyssopswitch.core.limit;

import org.hyssopswitch.core.message.PeerMessage;

/** A mechanism broken on purpose, to prove that the audit notices. */
enum LimitMutation {
    NONE,
    /** A share counts as returned as soon as its holder is asked, not when the holder has confirmed. */
    RETURN_UNCONFIRMED,
    /** Every grant fills the holder's bucket. */
    FULL_BUCKET,
    /** An owner that is merely paused counts as ended. */
    TAKEOVER_UNCONFIRMED,
    /** The clocks of holders run at a third of the speed that lenders allow for. */
    SLOW_CLOCKS;

    /** Falsifies a message on its way. */
    PeerMessage apply(PeerMessage message) {
        if (this == RETURN_UNCONFIRMED && message instanceof ShareRequest r) {
            return new ShareRequest(
                    r.sequence(),
                    r.lender(),
                    r.reports().stream()
                            .map(d -> new ShareReport(
                                    d.account(),
                                    d.epoch(),
                                    Long.MAX_VALUE,
                                    0,
                                    0,
                                    d.reservedTokens(),
                                    d.returnedTokens(),
                                    d.demand(),
                                    d.wantedTokens()))
                            .toList());
        }
        if (this == FULL_BUCKET && message instanceof ShareGrant g) {
            return new ShareGrant(
                    g.sequence(),
                    g.lender(),
                    g.leases().stream()
                            .map(l -> new ShareLease(
                                    l.account(),
                                    l.epoch(),
                                    l.grant(),
                                    l.rate(),
                                    l.burst(),
                                    l.burst(),
                                    l.durationMillis()))
                            .toList());
        }
        return message;
    }
}
