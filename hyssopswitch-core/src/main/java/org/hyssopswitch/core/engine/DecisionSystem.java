package org.hyssopswitch.core.engine;

import org.hyssopswitch.core.configuration.Configuration;

/**
 * A part of the decision core whose logic runs over tables on every tick and on every event.
 *
 * <p>A system is confined to one thread, does no I/O and reads no clock: time is a parameter, in milliseconds of a
 * monotonic clock, and random numbers come from a seeded generator passed to the constructor.
 *
 * @see DecisionEngine
 */
public interface DecisionSystem {

    /**
     * Runs periodic work that is due.
     *
     * @param nowMillis milliseconds of the monotonic clock
     * @param out receives the actions to perform
     */
    void tick(long nowMillis, Outbox out);

    /**
     * Handles an event; events that do not concern the system are ignored.
     *
     * @param event the event
     * @param nowMillis milliseconds of the monotonic clock
     * @param out receives the actions to perform
     */
    void handle(Event event, long nowMillis, Outbox out);

    /**
     * Applies a configuration of a higher version than the last one.
     *
     * @param configuration the configuration
     * @param nowMillis milliseconds of the monotonic clock
     * @param out receives the actions to perform
     */
    default void configure(Configuration configuration, long nowMillis, Outbox out) {}
}
