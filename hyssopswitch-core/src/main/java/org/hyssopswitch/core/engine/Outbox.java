package org.hyssopswitch.core.engine;

/** Collects the actions that a system requests. */
@FunctionalInterface
public interface Outbox {

    /**
     * Adds an action to perform.
     *
     * @param action the action
     */
    void add(Action action);
}
