package org.hyssopswitch.core.limit;

import java.util.List;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Answers a {@link ShareRequest}.
 *
 * @param sequence number of the request
 * @param lender data centre of the lender
 * @param leases the shares granted
 */
public record ShareGrant(long sequence, DataCentreId lender, List<ShareLease> leases) implements PeerMessage {

    /** Copies the list. */
    public ShareGrant {
        leases = List.copyOf(leases);
    }
}
