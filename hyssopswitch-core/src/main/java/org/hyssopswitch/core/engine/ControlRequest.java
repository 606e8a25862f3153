package org.hyssopswitch.core.engine;

import org.hyssopswitch.core.identity.EndpointId;

/** A control call to an endpoint. */
public sealed interface ControlRequest {

    /** Requests the endpoint's status. */
    record Status() implements ControlRequest {}

    /**
     * Fences the endpoint: it accepts a term and refuses all work of lower terms. An endpoint accepts a term from one
     * promotion coordinator only; the same coordinator may repeat the call.
     *
     * @param term the term
     * @param coordinator the promotion coordinator, identified by VM and incarnation
     */
    record Fence(long term, String coordinator) implements ControlRequest {}

    /**
     * Makes the endpoint the primary of a term that it has accepted from the same promotion coordinator.
     *
     * @param term the term
     * @param coordinator the promotion coordinator, identified by VM and incarnation
     */
    record Promote(long term, String coordinator) implements ControlRequest {}

    /**
     * Makes the endpoint a replica of the primary of a term.
     *
     * @param term the term
     * @param primary the primary of the term
     */
    record Follow(long term, EndpointId primary) implements ControlRequest {}

    /**
     * Waits until the endpoint has applied an offset of a term's log; fails once the endpoint has accepted a higher
     * term.
     *
     * @param term the term
     * @param offset the offset
     */
    record AwaitPosition(long term, long offset) implements ControlRequest {}
}
