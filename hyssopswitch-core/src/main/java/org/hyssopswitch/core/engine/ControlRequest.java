package org.hyssopswitch.core.engine;

import org.hyssopswitch.core.identity.EndpointId;

/** A control call to an endpoint. */
public sealed interface ControlRequest {

    /** Asks for the endpoint's status. */
    record Status() implements ControlRequest {}

    /**
     * Asks the endpoint to accept a term and to refuse all work of lower terms. An endpoint accepts a term from one
     * coordinator only; the same coordinator may repeat the call.
     *
     * @param term the term
     * @param coordinator who orders the promotion; names a VM and its incarnation
     */
    record Fence(long term, String coordinator) implements ControlRequest {}

    /**
     * Makes the endpoint the primary of a term that it has accepted from the same coordinator.
     *
     * @param term the term
     * @param coordinator who orders the promotion
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
     * Waits until the endpoint has applied an offset of a term's log, and fails once it has accepted a higher term.
     *
     * @param term the term
     * @param offset the offset
     */
    record AwaitPosition(long term, long offset) implements ControlRequest {}
}
