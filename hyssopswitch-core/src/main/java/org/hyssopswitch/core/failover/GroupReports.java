package org.hyssopswitch.core.failover;

import java.util.List;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Reports about endpoints of the sender, for a VM that is the home of other endpoints of the same groups.
 *
 * @param reports the reports
 */
public record GroupReports(List<GroupReport> reports) implements PeerMessage {

    /** Copies the list. */
    public GroupReports {
        reports = List.copyOf(reports);
    }
}
