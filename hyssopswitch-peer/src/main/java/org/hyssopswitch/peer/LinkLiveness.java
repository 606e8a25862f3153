package org.hyssopswitch.peer;

/**
 * Decides when a link in use is pinged and when it counts as silent. Nothing else is ever received on a link by the VM
 * that dialled it, so without pings a link that goes silent without a reset would be used for ever. Thread-safe.
 */
final class LinkLiveness {

    /** Minimum time between two pings, milliseconds. */
    private static final long PING_PERIOD_MILLIS = 1_000;

    /** Time without an answer to a ping after which the link is silent, milliseconds. */
    private static final long SILENT_AFTER_MILLIS = 1_500;

    private long lastPingMillis;
    private boolean unanswered;

    LinkLiveness(long nowMillis) {
        this.lastPingMillis = nowMillis;
    }

    /** Returns whether a ping is to be sent now; if so, it counts as sent. */
    synchronized boolean startPing(long nowMillis) {
        if (unanswered || nowMillis - lastPingMillis < PING_PERIOD_MILLIS) {
            return false;
        }
        lastPingMillis = nowMillis;
        unanswered = true;
        return true;
    }

    synchronized void pingAnswered() {
        unanswered = false;
    }

    synchronized boolean isSilent(long nowMillis) {
        return unanswered && nowMillis - lastPingMillis >= SILENT_AFTER_MILLIS;
    }
}
