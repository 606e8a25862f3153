package org.hyssopswitch.core.drain;

import org.hyssopswitch.core.engine.DecisionSystem;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.limit.LimitSystem;

/**
 * Shuts a VM down gracefully: announces that it is leaving, so that the other VMs give it no new work, and releases its
 * limit slots and rate shares while running statements complete.
 */
public final class DrainSystem implements DecisionSystem {

    /** Longest wait for the platform to record that this VM no longer owns its slots, in milliseconds. */
    public static final long SLOT_RELEASE_TIMEOUT_MILLIS = 10_000;

    private final Runnable leaveAnnouncement;
    private final LimitSystem limits;
    private DrainPhase phase = DrainPhase.RUNNING;
    private boolean drainRequested;
    private long drainStartMillis;

    /**
     * Creates a system in the running phase.
     *
     * @param leaveAnnouncement announces to the other VMs that this VM is leaving
     * @param limits the owner of the slots and shares to release
     */
    public DrainSystem(Runnable leaveAnnouncement, LimitSystem limits) {
        this.leaveAnnouncement = leaveAnnouncement;
        this.limits = limits;
    }

    /** Requests the drain, which starts with the next tick. Further calls have no effect. */
    public void requestDrain() {
        drainRequested = true;
    }

    /** Returns the phase of the shutdown. */
    public DrainPhase phase() {
        return phase;
    }

    /** Whether the VM accepts new callers and new transactions. */
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
        // Only ticks advance the drain.
    }
}
