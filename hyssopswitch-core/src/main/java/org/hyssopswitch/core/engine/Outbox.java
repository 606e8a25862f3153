package org.hyssopswitch.core.engine;

/** Takes the actions that a system decides on. */
@FunctionalInterface
public interface Outbox {

    /**
     * Adds an action to perform.
     *
     * @param action the action
     */
    void add(Action action);
}
