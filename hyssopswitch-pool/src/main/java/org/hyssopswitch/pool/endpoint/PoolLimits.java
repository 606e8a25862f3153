package org.hyssopswitch.pool.endpoint;

/**
 * Limits on a VM's use of the connections that an endpoint accepts from all VMs together.
 *
 * @param endpointMax connections that the endpoint accepts from all VMs together, at least 1
 * @param guaranteed connections that this VM may hold at any time; 0 if an equal share lacks one for each account
 * @param target connections that this VM keeps while no other VM lacks any, at least the guaranteed ones
 * @param lenderTarget connections that the lender keeps for itself and the borrowers, at least 1
 * @param scarce whether VMs borrow connections, because the endpoint accepts too few for all of them
 */
record PoolLimits(int endpointMax, int guaranteed, int target, int lenderTarget, boolean scarce) {

    /** Fraction of a replica's connections that the VMs of its own data centre keep; they read there most. */
    private static final double LOCAL_REPLICA_FRACTION = 0.5;

    /** Fraction of an endpoint's connections that its lender keeps; VMs that cannot reach the lender use the rest. */
    private static final double LENDER_FRACTION = 0.9;

    PoolLimits {
        if (endpointMax < 1 || guaranteed < 0 || target < guaranteed || lenderTarget < 1) {
            throw new IllegalArgumentException("an endpoint must accept at least 1 connection and guarantee this VM at"
                    + " least 0, and this VM must keep no fewer than those, but the limits are " + endpointMax + ", "
                    + guaranteed + " and " + target);
        }
    }

    /**
     * Divides the connections of an endpoint among the VMs.
     *
     * @param endpointMax connections that the endpoint accepts
     * @param vms number of VMs
     * @param localVms number of VMs in the endpoint's data centre if it is a replica in this VM's own; 0 otherwise
     * @param accounts number of client accounts
     */
    static PoolLimits of(int endpointMax, int vms, int localVms, int accounts) {
        int lenderTarget = Math.max(1, (int) (endpointMax * LENDER_FRACTION));
        int share = endpointMax / Math.max(1, vms);
        if (share < accounts) {
            // A VM that cannot keep a connection per account would have to open one for most operations.
            return new PoolLimits(endpointMax, 0, 0, lenderTarget, true);
        }
        int local = localVms > 0 ? (int) (endpointMax * LOCAL_REPLICA_FRACTION / localVms) : 0;
        return new PoolLimits(endpointMax, share, Math.max(share, local), lenderTarget, false);
    }
}
