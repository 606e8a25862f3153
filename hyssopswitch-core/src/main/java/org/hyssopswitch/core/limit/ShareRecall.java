package org.hyssopswitch.core.limit;

import java.util.List;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Asks a holder to lower shares at once; the ends of their leases are unchanged. The holder answers with a {@link
 * ShareRequest}, which confirms that it has lowered them.
 *
 * @param lender data centre of the lender
 * @param reducedShares the shares that are left; their tokens and durations are 0
 */
public record ShareRecall(DataCentreId lender, List<ShareLease> reducedShares) implements PeerMessage {

    /** Copies the list. */
    public ShareRecall {
        reducedShares = List.copyOf(reducedShares);
    }
}
