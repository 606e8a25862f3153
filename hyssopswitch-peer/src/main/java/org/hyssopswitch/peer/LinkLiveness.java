package org.hyssopswitch.peer;

/**
 * Decides when a link in use is pinged and when it counts as silent. Nothing else is ever received on a link by the VM
 * that dialled it, so without pings a link that goes silent without a reset would be used for ever. Thread-safe.
 */
final class LinkLiveness {

    /** Minimum time between two pings of a link that is in use, milliseconds. */
    static final long PING_PERIOD_MILLIS = 1_000;

    /** Time without an answer to a ping after which a link of a VM that owes no other answer is silent, milliseconds. */
    private static final long SILENT_AFTER_MILLIS = 1_500;

    /** Minimum time between two pings of a link that is probed, milliseconds. */
    private static final long PROBE_PERIOD_MILLIS = 250;

    /** Time without an answer to a ping after which a link that is probed is silent, milliseconds. */
    static final long PROBE_TIMEOUT_MILLIS = 150;

    private long lastPingMillis;
    private boolean unanswered;
    private boolean probed;

    LinkLiveness(long nowMillis) {
        this.lastPingMillis = nowMillis;
    }

    /** Returns whether a ping is to be sent now; if so, it counts as sent. */
    synchronized boolean startPing(long nowMillis) {
        return startPing(PING_PERIOD_MILLIS, nowMillis);
    }

    /** Returns whether a ping is to be sent now because an answer is missing; if so, it counts as sent. */
    synchronized boolean startProbe(long nowMillis) {
        boolean started = startPing(PROBE_PERIOD_MILLIS, nowMillis);
        probed = unanswered;
        return started;
    }

    synchronized void pingAnswered() {
        unanswered = false;
        probed = false;
    }

    synchronized boolean isSilent(long nowMillis) {
        return unanswered && nowMillis - lastPingMillis >= (probed ? PROBE_TIMEOUT_MILLIS : SILENT_AFTER_MILLIS);
    }

    private boolean startPing(long periodMillis, long nowMillis) {
        if (unanswered || nowMillis - lastPingMillis < periodMillis) {
            return false;
        }
        lastPingMillis = nowMillis;
        unanswered = true;
        return true;
    }
}
