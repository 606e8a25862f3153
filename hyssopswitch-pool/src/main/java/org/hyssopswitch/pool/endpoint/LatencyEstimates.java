package org.hyssopswitch.pool.endpoint;

/** Exponentially smoothed latencies of an endpoint and of its lender, milliseconds. */
final class LatencyEstimates {

    private static final double SMOOTHING_FACTOR = 0.1;
    private static final double INITIAL_SERVICE_MILLIS = 10;
    private static final double INITIAL_OPEN_MILLIS = 15;
    private static final double INITIAL_LEASE_MILLIS = 3;

    /** Time in which the lease estimate decays to about a third without leases, so that the endpoint is tried again. */
    private static final double LEASE_DECAY_MILLIS = 500;

    private double serviceMillis = INITIAL_SERVICE_MILLIS;
    private double openMillis = INITIAL_OPEN_MILLIS;
    private double leaseMillis = INITIAL_LEASE_MILLIS;
    private long lastLeaseMillis;

    double serviceMillis() {
        return serviceMillis;
    }

    double openMillis() {
        return openMillis;
    }

    double leaseMillis(long nowMillis) {
        return leaseMillis * Math.exp((lastLeaseMillis - nowMillis) / LEASE_DECAY_MILLIS);
    }

    void recordService(long millis) {
        serviceMillis += SMOOTHING_FACTOR * (millis - serviceMillis);
    }

    void recordOpen(long millis) {
        openMillis += SMOOTHING_FACTOR * (millis - openMillis);
    }

    void recordLease(long millis, long nowMillis) {
        leaseMillis += SMOOTHING_FACTOR * (millis - leaseMillis);
        lastLeaseMillis = nowMillis;
    }
}
