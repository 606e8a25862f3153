package org.hyssopswitch.core.drain;

/** How far the graceful stop of a VM has come. */
public enum DrainPhase {
    /** The VM takes new work. */
    RUNNING,
    /** The VM is announced as leaving, moves idle callers and hands back its shares. */
    DRAINING,
    /** Everything has been handed back, or the time for it has passed and the shares will expire. */
    DRAINED
}
