package org.hyssopswitch.pool.endpoint;

/** How many connections this VM may hold to one endpoint, and when it may open another one. */
final class ConnectionBudget {

    /** Pause in opening after the endpoint refused a connection, milliseconds: a few statements' time. */
    private static final long FULL_RETRY_DELAY_MILLIS = 40;

    /** Pause in opening after a connection could not be opened, milliseconds. */
    private static final long FAILED_RETRY_DELAY_MILLIS = 200;

    /** Time after which an endpoint whose address belongs to another process is tried again, milliseconds. */
    private static final long FOREIGN_PROCESS_RETRY_DELAY_MILLIS = 2_000;

    /** Time for which no more connections than at the refusal are held, milliseconds. */
    private static final long CAP_MILLIS = 1_000;

    /** Time for which connections beyond the guaranteed share are given up at once for other VMs, milliseconds. */
    private static final long SURPLUS_RELEASE_MILLIS = 1_000;

    /** Time after the last lease for which a VM keeps connections to lend, milliseconds. */
    private static final long LENDING_RETENTION_MILLIS = 5_000;

    private PoolLimits limits;
    private long openAfterMillis;
    private long cappedUntilMillis;
    private int cap;
    private long guaranteedOnlyUntilMillis;
    private long lendingUntilMillis;
    private boolean stopping;

    ConnectionBudget(PoolLimits limits) {
        this.limits = limits;
    }

    void update(PoolLimits changed) {
        limits = changed;
    }

    /** Whether VMs borrow connections because the endpoint accepts too few. */
    boolean scarce() {
        return limits.scarce();
    }

    int guaranteed() {
        return limits.guaranteed();
    }

    boolean mayOpen(long nowMillis) {
        return nowMillis >= openAfterMillis;
    }

    /** Connections that this VM keeps; more are opened only while all of them are lent. */
    int targetSize(boolean lender, long nowMillis) {
        if (stopping) {
            return 0;
        }
        if (limits.scarce() && (lender || nowMillis < lendingUntilMillis)) {
            return limits.lenderTarget();
        }
        return nowMillis < guaranteedOnlyUntilMillis ? limits.guaranteed() : limits.target();
    }

    /** Connections that this VM holds at most. */
    int maxSize(long nowMillis) {
        return nowMillis < cappedUntilMillis ? cap : limits.endpointMax();
    }

    void recordLending(long nowMillis) {
        lendingUntilMillis = nowMillis + LENDING_RETENTION_MILLIS;
    }

    /** Keeps no connections from now on: the VM stops, and others need them. */
    void stop() {
        stopping = true;
    }

    void limitToGuaranteed(long nowMillis) {
        guaranteedOnlyUntilMillis = nowMillis + SURPLUS_RELEASE_MILLIS;
    }

    /** The endpoint refused a connection because it has enough. */
    void recordFull(int openConnections, long nowMillis) {
        openAfterMillis = nowMillis + FULL_RETRY_DELAY_MILLIS;
        cappedUntilMillis = nowMillis + CAP_MILLIS;
        cap = Math.max(1, openConnections);
    }

    /** Another process listens at the endpoint's address. */
    void recordForeignProcess(long nowMillis) {
        openAfterMillis = nowMillis + FOREIGN_PROCESS_RETRY_DELAY_MILLIS;
    }

    void recordOpenFailure(long nowMillis) {
        openAfterMillis = nowMillis + FAILED_RETRY_DELAY_MILLIS;
    }

    /** The endpoint's process is another one now. */
    void resetOpenDelay(long nowMillis) {
        openAfterMillis = nowMillis;
    }
}
