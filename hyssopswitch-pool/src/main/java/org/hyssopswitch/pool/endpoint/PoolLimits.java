package org.hyssopswitch.pool.endpoint;

/**
 * How a VM uses the connections that an endpoint accepts from all VMs together.
 *
 * @param endpointMax connections that the endpoint accepts from all VMs, 1 or more
 * @param guaranteed connections that this VM may hold at any time; 0 when VMs outnumber the endpoint's connections
 * @param target connections that this VM keeps while no other VM lacks any, at least the guaranteed ones
 * @param lenderTarget connections that a VM keeps which lends them to the others
 * @param scarce whether VMs borrow connections, because the endpoint accepts too few for all of them
 */
record PoolLimits(int endpointMax, int guaranteed, int target, int lenderTarget, boolean scarce) {

    /** Part of the connections of a replica that the VMs of its own data centre keep; they read there most. */
    private static final double LOCAL_REPLICA_FRACTION = 0.5;

    /** Part of an endpoint's connections that its lender keeps; the rest is for VMs that do not reach the lender. */
    private static final double LENDER_FRACTION = 0.9;

    PoolLimits {
        if (endpointMax < 1 || guaranteed < 0 || target < guaranteed || lenderTarget < 1) {
            throw new IllegalArgumentException("an endpoint must accept 1 connection or more, grant this VM 0 or more,"
                    + " and this VM must keep no fewer, but the limits are " + endpointMax + ", " + guaranteed + " and "
                    + target);
        }
    }

    /**
     * Splits an endpoint's connections over the VMs.
     *
     * @param endpointMax connections that the endpoint accepts
     * @param vms number of VMs
     * @param localVms number of VMs in the endpoint's data centre, if it is a replica in this VM's; 0 otherwise
     * @param accounts number of client accounts
     */
    static PoolLimits of(int endpointMax, int vms, int localVms, int accounts) {
        int lenderTarget = Math.max(1, (int) (endpointMax * LENDER_FRACTION));
        int share = endpointMax / Math.max(1, vms);
        if (share < accounts) {
            // A VM that cannot keep a connection for each account would open one for most operations.
            return new PoolLimits(endpointMax, 0, 0, lenderTarget, true);
        }
        int local = localVms > 0 ? (int) (endpointMax * LOCAL_REPLICA_FRACTION / localVms) : 0;
        return new PoolLimits(endpointMax, share, Math.max(share, local), lenderTarget, false);
    }
}
