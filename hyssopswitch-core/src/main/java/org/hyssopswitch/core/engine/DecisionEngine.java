package org.hyssopswitch.core.engine;

import java.util.ArrayList;
import java.util.List;
import org.hyssopswitch.core.configuration.Configuration;

/**
 * Runs the decision systems of one VM in a fixed order. Confined to one thread.
 *
 * @see DecisionSystem
 */
public final class DecisionEngine {

    private final List<DecisionSystem> systems;
    private Configuration configuration = Configuration.EMPTY;

    /**
     * Creates an engine.
     *
     * @param systems the systems, in the order in which they run
     */
    public DecisionEngine(List<DecisionSystem> systems) {
        this.systems = List.copyOf(systems);
    }

    /** Returns the configuration in force. */
    public Configuration configuration() {
        return configuration;
    }

    /**
     * Runs all systems once.
     *
     * @param nowMillis milliseconds of the monotonic clock
     * @return the actions to perform, in order
     */
    public List<Action> tick(long nowMillis) {
        List<Action> actions = new ArrayList<>();
        systems.forEach(s -> s.tick(nowMillis, actions::add));
        return applyConfigurations(actions, nowMillis);
    }

    /**
     * Passes an event to all systems.
     *
     * @param event the event
     * @param nowMillis milliseconds of the monotonic clock
     * @return the actions to perform, in order
     */
    public List<Action> handle(Event event, long nowMillis) {
        List<Action> actions = new ArrayList<>();
        systems.forEach(s -> s.handle(event, nowMillis, actions::add));
        return applyConfigurations(actions, nowMillis);
    }

    private List<Action> applyConfigurations(List<Action> actions, long nowMillis) {
        List<Action> result = new ArrayList<>(actions);
        for (Action action : actions) {
            if (action instanceof Action.ApplyConfiguration apply) {
                configure(apply.configuration(), nowMillis, result);
            }
        }
        return result;
    }

    /** Applies a configuration of a higher version; other versions are ignored, so that a version never reverts. */
    private void configure(Configuration next, long nowMillis, List<Action> actions) {
        if (next.version() <= configuration.version()) {
            return;
        }
        configuration = next;
        systems.forEach(s -> s.configure(next, nowMillis, actions::add));
    }
}
