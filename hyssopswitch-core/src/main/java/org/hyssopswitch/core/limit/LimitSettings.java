package org.hyssopswitch.core.limit;

/**
 * Times and sizes of the distribution of rate shares.
 *
 * @param slots slots per data centre to which client accounts hash; the same on all VMs, 1 or more
 * @param minLeaseMillis duration of the lease of a share whose size has just changed
 * @param maxLeaseMillis duration of the lease of a share that has long been stable
 * @param leaseMarginMillis time that a lender waits beyond a lease, besides one hundredth of it for the drift of clocks
 * @param requestIntervalMillis shortest time between two requests of a holder that lacks rate or tokens
 * @param idleTimeoutMillis time without a statement after which a share is returned
 * @param maxAdmissionWaitMillis longest time that a statement waits for tokens before it is refused
 * @param maxAccountsPerMessage client accounts in one message
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

    /** The settings that are used unless others are declared. */
    public static final LimitSettings DEFAULT = new LimitSettings(64, 10_000, 32_000, 500, 20, 10_000, 250, 256);

    /** Checks the ranges. */
    public LimitSettings {
        if (slots < 1 || maxAccountsPerMessage < 1) {
            throw new IllegalArgumentException("there must be 1 slot and 1 item in a message or more, but there are "
                    + slots + " and " + maxAccountsPerMessage);
        }
        if (minLeaseMillis < 1 || maxLeaseMillis < minLeaseMillis || leaseMarginMillis < 0) {
            throw new IllegalArgumentException("leases must last 1 ms or more, the longest no less than the shortest,"
                    + " with a margin of 0 ms or more, but last " + minLeaseMillis + " to " + maxLeaseMillis
                    + " ms with a margin of " + leaseMarginMillis + " ms");
        }
        if (requestIntervalMillis < 1 || idleTimeoutMillis < 1 || maxAdmissionWaitMillis < 0) {
            throw new IllegalArgumentException("intervals must be 1 ms or more, but the pressure interval is "
                    + requestIntervalMillis + " ms, the idle time " + idleTimeoutMillis + " ms and the admission wait "
                    + maxAdmissionWaitMillis + " ms");
        }
    }

    /**
     * Time after which a lender may take a lease of this duration as ended, counted from the grant.
     *
     * @param durationMillis the duration given to the holder, who counts it from its request
     */
    long lenderLeaseMillis(long durationMillis) {
        return durationMillis + durationMillis / 100 + leaseMarginMillis;
    }
}
