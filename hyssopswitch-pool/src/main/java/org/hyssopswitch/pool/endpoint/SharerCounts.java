package org.hyssopswitch.pool.endpoint;

/**
 * Who shares the connections of endpoints.
 *
 * @param vms number of VMs, 1 or more
 * @param accounts number of client accounts, each of which needs connections of its own
 */
public record SharerCounts(int vms, int accounts) {

    /** Checks the ranges. */
    public SharerCounts {
        if (vms < 1 || accounts < 0) {
            throw new IllegalArgumentException(
                    "1 VM or more must share connections for 0 accounts or more, but are " + vms + " and " + accounts);
        }
    }
}
