package org.hyssopswitch.pool.endpoint;

/**
 * How a VM uses the connections that an endpoint accepts from all VMs together.
 *
 * @param endpointMax connections that the endpoint accepts from all VMs, 1 or more
 * @param guaranteed connections that this VM may hold at any time, 1 or more
 */
record PoolLimits(int endpointMax, int guaranteed) {

    PoolLimits {
        if (endpointMax < 1 || guaranteed < 1) {
            throw new IllegalArgumentException("an endpoint must accept 1 connection or more and grant this VM 1 or"
                    + " more, but the limits are " + endpointMax + " and " + guaranteed);
        }
    }

    /** Splits the endpoint's connections evenly over the VMs. */
    static PoolLimits of(int endpointMax, int vms) {
        return new PoolLimits(endpointMax, Math.max(1, endpointMax / Math.max(1, vms)));
    }
}
