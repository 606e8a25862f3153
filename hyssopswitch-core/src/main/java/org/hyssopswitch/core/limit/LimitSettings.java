package org.hyssopswitch.core.limit;

/**
 * Settings of the distribution of rate shares.
 *
 * @param slots slots per data centre to which client accounts hash; the same on all VMs, 1 or more
 * @param minLeaseMillis duration of the lease of a share whose size has just changed
 * @param maxLeaseMillis duration of the lease of a share whose size has been stable
 * @param leaseMarginMillis time that a lender waits after the end of a lease, in addition to one hundredth of the lease
 *     for clock drift
 * @param requestIntervalMillis minimum time between two requests of a holder that is short of rate or tokens
 * @param idleTimeoutMillis time without a statement after which a share is returned
 * @param maxAdmissionWaitMillis maximum time that a statement waits for a token before it is refused
 * @param maxAccountsPerMessage maximum number of client accounts in one message
 */
public record LimitSettings(
        int slots,
        long minLeaseMillis,
        long maxLeaseMillis,
        long leaseMarginMillis,
        long requestIntervalMillis,
        long idleTimeoutMillis,
        long maxAdmissionWaitMillis,
        int maxAccountsPerMessage) {

    /** The default settings. */
    public static final LimitSettings DEFAULT = new LimitSettings(64, 10_000, 32_000, 500, 20, 10_000, 250, 256);

    /** Checks the ranges. */
    public LimitSettings {
        if (slots < 1 || maxAccountsPerMessage < 1) {
            throw new IllegalArgumentException("slots and accounts per message must be 1 or more, but are " + slots
                    + " and " + maxAccountsPerMessage);
        }
        if (minLeaseMillis < 1 || maxLeaseMillis < minLeaseMillis || leaseMarginMillis < 0) {
            throw new IllegalArgumentException("the minimum lease must be 1 ms or more, the maximum lease no shorter,"
                    + " and the margin 0 ms or more, but the leases are " + minLeaseMillis + " to " + maxLeaseMillis
                    + " ms and the margin is " + leaseMarginMillis + " ms");
        }
        if (requestIntervalMillis < 1 || idleTimeoutMillis < 1 || maxAdmissionWaitMillis < 0) {
            throw new IllegalArgumentException("intervals must be 1 ms or more, but the request interval is "
                    + requestIntervalMillis + " ms, the idle timeout " + idleTimeoutMillis
                    + " ms and the admission wait "
                    + maxAdmissionWaitMillis + " ms");
        }
    }

    /**
     * Returns the time after which a lender may treat a lease as expired, counted from the grant.
     *
     * @param durationMillis the duration of the lease, which the holder counts from the sending of its request
     */
    long lenderLeaseMillis(long durationMillis) {
        return durationMillis + durationMillis / 100 + leaseMarginMillis;
    }
}
