package org.hyssopswitch.core.limit;

import org.hyssopswitch.core.message.PeerMessage;

/** Defects injected on purpose, to prove that the audit detects them. */
enum LimitMutation {
    NONE,
    /** The lender treats a share as returned as soon as it asks for it, before the holder has confirmed. */
    RETURN_UNCONFIRMED,
    /** Every grant fills the holder's bucket up to its burst. */
    FULL_BUCKET,
    /** A paused owner is treated as ended. */
    TAKEOVER_UNCONFIRMED,
    /** Clocks in one data centre run at a third of the speed that lenders allow for. */
    SLOW_CLOCKS;

    /** Alters a message in transit according to this defect. */
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
