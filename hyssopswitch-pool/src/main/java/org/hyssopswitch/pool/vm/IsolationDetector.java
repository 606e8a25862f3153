package org.hyssopswitch.pool.vm;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Tells whether this VM is cut off from the other data centres while callers still reach it.
 *
 * <p>Answers a data centre that is cut off: its VMs can serve few statements, and callers that are sent to another data
 * centre are served. The loss of primaries alone is no sign, because the other VMs may have lost them too; it counts once
 * no VM of another data centre answers either.
 */
final class IsolationDetector {

    /** Silence of the other data centres after which this VM counts as cut off, milliseconds: several lost pings. */
    private static final long CONFIRMATION_MILLIS = 600;

    /** Period in which VMs of other data centres are asked for a sign of life, milliseconds. */
    private static final long PING_PERIOD_MILLIS = 150;

    private static final Logger LOG = LogManager.getLogger(IsolationDetector.class);

    private final Runnable ping;
    private boolean suspected;
    private boolean isolated;
    private long silentSinceMillis;
    private long isolatedSinceMillis;
    private long lastPingMillis;

    /**
     * Creates a detector that sees no isolation.
     *
     * @param ping asks some VMs of other data centres for a sign of life
     * @param nowMillis milliseconds of the monotonic clock
     */
    IsolationDetector(Runnable ping, long nowMillis) {
        this.ping = ping;
        this.lastPingMillis = nowMillis;
    }

    /** A message of a VM of another data centre has arrived. */
    void remoteMessageReceived(long nowMillis) {
        silentSinceMillis = nowMillis;
    }

    /**
     * Looks at the signs; called every few milliseconds.
     *
     * @param remotePrimariesLost whether there are primaries in other data centres and none of them can be reached
     * @param nowMillis milliseconds of the monotonic clock
     */
    void tick(boolean remotePrimariesLost, long nowMillis) {
        if (remotePrimariesLost && !suspected) {
            silentSinceMillis = nowMillis;
        }
        suspected = remotePrimariesLost;
        if (suspected && nowMillis - lastPingMillis >= PING_PERIOD_MILLIS) {
            lastPingMillis = nowMillis;
            ping.run();
        }
        boolean cutOff = suspected && nowMillis - silentSinceMillis >= CONFIRMATION_MILLIS;
        if (cutOff != isolated) {
            LOG.warn("event=isolation_changed isolated={} silent_ms={}", cutOff, nowMillis - silentSinceMillis);
            isolatedSinceMillis = nowMillis;
        }
        isolated = cutOff;
    }

    boolean isIsolated() {
        return isolated;
    }

    /** Time since the VM was found to be cut off, milliseconds; 0 when it is not. */
    long isolatedMillis(long nowMillis) {
        return isolated ? nowMillis - isolatedSinceMillis : 0;
    }
}
