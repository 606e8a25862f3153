package org.hyssopswitch.proxy.home;

/** Divides the connections that an endpoint accepts between its home and its standby. */
final class ConnectionShare {

    /** Two control connections of the home and two of the standby. */
    private static final int CONTROL_CONNECTIONS = 4;

    private ConnectionShare() {}

    /**
     * Returns the number of statement connections that a home may open.
     *
     * @param cap number of connections that the endpoint accepts
     * @param rank 0 for the home, 1 for the standby
     */
    static int statementConnections(int cap, int rank) {
        int budget = Math.max(2, cap - CONTROL_CONNECTIONS);
        int home = Math.max(1, budget * 2 / 3);
        return rank == 0 ? home : Math.max(1, budget - home);
    }
}
