package org.hyssopswitch.pool.vm;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Detects that this VM is cut off from the other data centres while callers still reach it.
 *
 * <p>VMs of a data centre that is cut off can serve few statements, whereas callers that are sent to another data
 * centre are served. Unreachable primaries alone do not indicate isolation, because the other VMs may have lost them
 * too; this VM is isolated only once no VM of another data centre answers either.
 */
final class IsolationDetector {

    /** Time without contact to other data centres after which this VM is isolated, milliseconds: several lost pings. */
    private static final long CONFIRMATION_MILLIS = 600;

    /** Period in which VMs of other data centres are pinged, milliseconds. */
    private static final long PING_PERIOD_MILLIS = 150;

    private static final Logger LOG = LogManager.getLogger(IsolationDetector.class);

    private final Runnable ping;
    private boolean suspected;
    private boolean isolated;
    private long noContactSinceMillis;
    private long isolatedSinceMillis;
    private long lastPingMillis;

    /**
     * Creates a detector that reports no isolation.
     *
     * @param ping pings some VMs of other data centres
     * @param nowMillis milliseconds of the monotonic clock
     */
    IsolationDetector(Runnable ping, long nowMillis) {
        this.ping = ping;
        this.lastPingMillis = nowMillis;
    }

    /** Records a message from a VM of another data centre. */
    void remoteMessageReceived(long nowMillis) {
        noContactSinceMillis = nowMillis;
    }

    /**
     * Updates the state; called every few milliseconds.
     *
     * @param remotePrimariesLost whether there are primaries in other data centres and none of them is reachable
     * @param nowMillis milliseconds of the monotonic clock
     */
    void tick(boolean remotePrimariesLost, long nowMillis) {
        if (remotePrimariesLost && !suspected) {
            noContactSinceMillis = nowMillis;
        }
        suspected = remotePrimariesLost;
        if (suspected && nowMillis - lastPingMillis >= PING_PERIOD_MILLIS) {
            lastPingMillis = nowMillis;
            ping.run();
        }
        boolean cutOff = suspected && nowMillis - noContactSinceMillis >= CONFIRMATION_MILLIS;
        if (cutOff != isolated) {
            LOG.warn("event=isolation_changed isolated={} silent_ms={}", cutOff, nowMillis - noContactSinceMillis);
            isolatedSinceMillis = nowMillis;
        }
        isolated = cutOff;
    }

    boolean isIsolated() {
        return isolated;
    }

    /** Returns the time since the VM was found to be isolated, milliseconds; 0 when it is not. */
    long isolatedMillis(long nowMillis) {
        return isolated ? nowMillis - isolatedSinceMillis : 0;
    }
}
