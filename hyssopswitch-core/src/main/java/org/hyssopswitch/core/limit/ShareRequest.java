package org.hyssopswitch.core.limit;

import java.util.List;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Renews, requests or returns shares.
 *
 * @param sequence number that increases with every request of the sending incarnation
 * @param lender data centre whose part of the rates is requested
 * @param reports one report for each client account
 */
public record ShareRequest(long sequence, DataCentreId lender, List<ShareReport> reports) implements PeerMessage {

    /** Copies the list. */
    public ShareRequest {
        reports = List.copyOf(reports);
    }
}
