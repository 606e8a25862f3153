package org.hyssopswitch.core.failover;

import org.hyssopswitch.core.engine.Outbox;

/** Takes the outcome of a control call. */
@FunctionalInterface
interface ControlCallback {

    /** Called exactly once per call, also when it timed out. */
    void onOutcome(ControlOutcome outcome, long nowMillis, Outbox out);
}
