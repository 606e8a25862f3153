package org.hyssopswitch.pool.endpoint;

/** Determines how many connections this VM may hold to one endpoint, and when it may open another one. */
final class ConnectionBudget {

    /** Delay of the next attempt to connect after the endpoint was full, milliseconds: the time of a few statements. */
    private static final long FULL_RETRY_DELAY_MILLIS = 40;

    /**
     * Maximum delay of the next attempt after the endpoint was full repeatedly, milliseconds, where VMs outnumber its
     * connections: the endpoint drops those of a lost VM after seconds.
     */
    private static final long MAX_FULL_RETRY_DELAY_MILLIS = 640;

    /** Delay of the next attempt to connect after a connection could not be opened, milliseconds. */
    private static final long FAILED_RETRY_DELAY_MILLIS = 200;

    /** Delay of the next attempt to connect after another process answered at the address, milliseconds. */
    private static final long FOREIGN_PROCESS_RETRY_DELAY_MILLIS = 2_000;

    /** Time for which the number of connections held at a refusal is the maximum, milliseconds. */
    private static final long CAP_MILLIS = 1_000;

    /** Time for which connections beyond the guaranteed share are released to other VMs, milliseconds. */
    private static final long SURPLUS_RELEASE_MILLIS = 1_000;

    /** Time after the last lease request for which a VM keeps connections for lending, milliseconds. */
    private static final long LENDING_RETENTION_MILLIS = 5_000;

    private PoolLimits limits;
    private long openAfterMillis;
    private long cappedUntilMillis;
    private int cap;
    private long lastFullMillis = Long.MIN_VALUE / 2;
    private long fullRetryDelayMillis = FULL_RETRY_DELAY_MILLIS;
    private long guaranteedOnlyUntilMillis;
    private long lendingUntilMillis;
    private boolean stopping;

    ConnectionBudget(PoolLimits limits) {
        this.limits = limits;
    }

    void update(PoolLimits changed) {
        limits = changed;
    }

    /** Whether VMs borrow connections, because the endpoint accepts too few for all of them. */
    boolean scarce() {
        return limits.scarce();
    }

    int guaranteed() {
        return limits.guaranteed();
    }

    boolean mayOpen(long nowMillis) {
        return nowMillis >= openAfterMillis;
    }

    /** Returns the number of connections that this VM keeps; more are opened only while all of them are in use. */
    int targetSize(boolean lender, long nowMillis) {
        if (stopping) {
            return 0;
        }
        if (limits.scarce() && (lender || nowMillis < lendingUntilMillis)) {
            return limits.lenderTarget();
        }
        return nowMillis < guaranteedOnlyUntilMillis ? limits.guaranteed() : limits.target();
    }

    /** Returns the maximum number of connections that this VM holds. */
    int maxSize(long nowMillis) {
        return nowMillis < cappedUntilMillis ? cap : limits.endpointMax();
    }

    /**
     * Records an attempt to connect. Where VMs outnumber the connections, there is one at a time while the endpoint is
     * full: the attempts of all VMs together would keep it busy.
     */
    void recordOpening(long nowMillis) {
        if (limits.scarce() && nowMillis < cappedUntilMillis) {
            openAfterMillis = nowMillis + fullRetryDelayMillis;
        }
    }

    /** Records that a connection was opened. */
    void recordOpened() {
        fullRetryDelayMillis = FULL_RETRY_DELAY_MILLIS;
    }

    void recordLending(long nowMillis) {
        lendingUntilMillis = nowMillis + LENDING_RETENTION_MILLIS;
    }

    /** Sets the target size to 0, because this VM stops and other VMs need the connections. */
    void stop() {
        stopping = true;
    }

    void limitToGuaranteed(long nowMillis) {
        guaranteedOnlyUntilMillis = nowMillis + SURPLUS_RELEASE_MILLIS;
    }

    /** Records that the endpoint refused a connection because it accepts no more. */
    void recordFull(int openConnections, long nowMillis) {
        // Attempts that were in flight together count as one.
        if (limits.scarce() && nowMillis >= lastFullMillis + FULL_RETRY_DELAY_MILLIS) {
            lastFullMillis = nowMillis;
            fullRetryDelayMillis = Math.min(MAX_FULL_RETRY_DELAY_MILLIS, 2 * fullRetryDelayMillis);
        }
        openAfterMillis = Math.max(openAfterMillis, nowMillis + fullRetryDelayMillis);
        cappedUntilMillis = nowMillis + CAP_MILLIS;
        cap = Math.max(1, openConnections);
    }

    /** Records that another process answered at the endpoint's address. */
    void recordForeignProcess(long nowMillis) {
        openAfterMillis = nowMillis + FOREIGN_PROCESS_RETRY_DELAY_MILLIS;
    }

    void recordOpenFailure(long nowMillis) {
        openAfterMillis = nowMillis + FAILED_RETRY_DELAY_MILLIS;
    }

    /** Permits opening at once, because the endpoint's process has been replaced. */
    void resetOpenDelay(long nowMillis) {
        openAfterMillis = nowMillis;
    }
}
