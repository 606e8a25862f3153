package org.hyssopswitch.pool.endpoint;

/**
 * The numbers of VMs and client accounts that share the connections of endpoints.
 *
 * @param vms number of VMs, at least 1
 * @param accounts number of client accounts, at least 0; each needs connections of its own
 */
public record SharerCounts(int vms, int accounts) {

    /** Checks the ranges. */
    public SharerCounts {
        if (vms < 1 || accounts < 0) {
            throw new IllegalArgumentException(
                    "at least 1 VM and 0 accounts must share connections, but there are " + vms + " and " + accounts);
        }
    }
}
