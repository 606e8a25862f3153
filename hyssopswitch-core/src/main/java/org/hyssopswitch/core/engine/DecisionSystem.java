package org.hyssopswitch.core.engine;

import org.hyssopswitch.core.configuration.Configuration;

/**
 * One system of the decision core: logic that runs over tables on every tick and on every event.
 *
 * <p>A system is confined to one thread, does no I/O and reads no clock: time is a parameter, in milliseconds of a
 * monotonic clock, and randomness is a seeded generator given at construction.
 *
 * @see DecisionEngine
 */
public interface DecisionSystem {

    /**
     * Runs the periodic work that is due.
     *
     * @param nowMillis milliseconds of the monotonic clock
     * @param out takes the actions to perform
     */
    void tick(long nowMillis, Outbox out);

    /**
     * Handles an event; events of no concern are ignored.
     *
     * @param event the event
     * @param nowMillis milliseconds of the monotonic clock
     * @param out takes the actions to perform
     */
    void handle(Event event, long nowMillis, Outbox out);

    /**
     * Takes a configuration of a higher version into force.
     *
     * @param configuration the configuration
     * @param nowMillis milliseconds of the monotonic clock
     * @param out takes the actions to perform
     */
    default void configure(Configuration configuration, long nowMillis, Outbox out) {}
}
