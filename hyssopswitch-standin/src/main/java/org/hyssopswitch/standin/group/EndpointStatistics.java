package org.hyssopswitch.standin.group;

import java.util.List;

/**
 * What an endpoint has seen.
 *
 * @param clients application names of the open connections
 * @param peakConnections greatest number of connections open at the same time
 * @param opened connections opened since the start
 * @param refusedOverCap connections refused because of the cap
 * @param statements reads and writes started
 */
public record EndpointStatistics(
        List<String> clients, int peakConnections, long opened, long refusedOverCap, long statements) {

    /** Copies the list. */
    public EndpointStatistics {
        clients = List.copyOf(clients);
    }
}
