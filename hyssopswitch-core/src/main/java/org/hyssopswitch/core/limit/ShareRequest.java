package org.hyssopswitch.core.limit;

import java.util.List;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Renews, asks for or returns shares.
 *
 * @param sequence grows with every request of the sending incarnation
 * @param lender data centre whose part of the rates is asked for
 * @param reports one entry for each client account
 */
public record ShareRequest(long sequence, DataCentreId lender, List<ShareReport> reports) implements PeerMessage {

    /** Copies the list. */
    public ShareRequest {
        reports = List.copyOf(reports);
    }
}
