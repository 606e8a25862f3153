package org.hyssopswitch.core.failover;

import org.hyssopswitch.core.engine.Outbox;

/** Receives the outcome of a control call. */
@FunctionalInterface
interface ControlCallback {

    /** Called exactly once per call, also when the call timed out. */
    void onOutcome(ControlOutcome outcome, long nowMillis, Outbox out);
}
