package org.hyssopswitch.core.drain;

/** The phases of the graceful shutdown of a VM. */
public enum DrainPhase {
    /** The VM accepts new work. */
    RUNNING,
    /** The VM is announced as leaving; it disconnects idle callers and releases its limit slots and rate shares. */
    DRAINING,
    /** All slots and shares are released, or the release timed out and the shares are left to expire. */
    DRAINED
}
