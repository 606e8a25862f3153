package org.hyssopswitch.pool.endpoint;

/** Counters of the use of connections to one endpoint since the last report. */
final class PoolCounters {

    private long assigned;
    private long waitedMillis;
    private long opened;
    private long openMillis;
    private long leased;
    private long leaseMillis;
    private long openRefused;
    private long evicted;
    private long repliesRepeated;
    private long outOfStep;
    private long retired;

    void recordAssigned(long afterMillis) {
        assigned++;
        waitedMillis += afterMillis;
    }

    void recordOpened(long afterMillis) {
        opened++;
        openMillis += afterMillis;
    }

    void recordLeased(long afterMillis) {
        leased++;
        leaseMillis += afterMillis;
    }

    void recordOpenRefused() {
        openRefused++;
    }

    void recordEvicted() {
        evicted++;
    }

    void recordReplyRepeated() {
        repliesRepeated++;
    }

    void recordRetired() {
        retired++;
    }

    void recordOutOfStep() {
        outOfStep++;
    }

    /** Returns the counters as fields of a log line and resets them. */
    String reportAndReset() {
        String report = "assigned=" + assigned + " wait_ms_mean=" + mean(waitedMillis, assigned) + " opened=" + opened
                + " open_ms_mean=" + mean(openMillis, opened) + " leased=" + leased + " lease_ms_mean="
                + mean(leaseMillis, leased)
                + " open_refused=" + openRefused + " evicted=" + evicted
                + " replies_repeated=" + repliesRepeated + " out_of_step=" + outOfStep + " retired=" + retired;
        assigned = 0;
        waitedMillis = 0;
        opened = 0;
        openMillis = 0;
        leased = 0;
        leaseMillis = 0;
        openRefused = 0;
        evicted = 0;
        repliesRepeated = 0;
        outOfStep = 0;
        retired = 0;
        return report;
    }

    private static long mean(long sum, long count) {
        return count == 0 ? 0 : sum / count;
    }
}
