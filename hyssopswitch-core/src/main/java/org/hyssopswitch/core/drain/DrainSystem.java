package org.hyssopswitch.core.drain;

import org.hyssopswitch.core.engine.DecisionSystem;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.limit.LimitSystem;

/**
 * Stops a VM gracefully: announces that it leaves, so that others give it no new work, and hands back its shares and
 * slots while what runs is finished.
 */
public final class DrainSystem implements DecisionSystem {

    /** Time after which a VM no longer waits for the platform to take back its slots. */
    public static final long SLOT_RELEASE_TIMEOUT_MILLIS = 10_000;

    private final Runnable leaveAnnouncement;
    private final LimitSystem limits;
    private DrainPhase phase = DrainPhase.RUNNING;
    private boolean drainRequested;
    private long drainStartMillis;

    /**
     * Creates a system in the running phase.
     *
     * @param leaveAnnouncement announces to the other VMs that this VM leaves
     * @param limits the shares and slots to hand back
     */
    public DrainSystem(Runnable leaveAnnouncement, LimitSystem limits) {
        this.leaveAnnouncement = leaveAnnouncement;
        this.limits = limits;
    }

    /** Begins to leave at the next tick. Further calls change nothing. */
    public void requestDrain() {
        drainRequested = true;
    }

    /** How far the stop has come. */
    public DrainPhase phase() {
        return phase;
    }

    /** Whether the VM takes new callers and new transactions. */
    public boolean acceptsWork() {
        return !drainRequested;
    }

    @Override
    public void tick(long nowMillis, Outbox out) {
        if (drainRequested && phase == DrainPhase.RUNNING) {
            phase = DrainPhase.DRAINING;
            drainStartMillis = nowMillis;
            leaveAnnouncement.run();
        }
        if (phase == DrainPhase.DRAINING) {
            limits.releaseSlots(nowMillis, out);
            boolean timedOut = nowMillis - drainStartMillis >= SLOT_RELEASE_TIMEOUT_MILLIS;
            if (limits.isReleased() || timedOut) {
                phase = DrainPhase.DRAINED;
            }
        }
    }

    @Override
    public void handle(Event event, long nowMillis, Outbox out) {
        // Only time moves a stop on.
    }
}
