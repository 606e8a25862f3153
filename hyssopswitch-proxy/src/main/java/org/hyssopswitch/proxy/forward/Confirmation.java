package org.hyssopswitch.proxy.forward;

import org.hyssopswitch.core.position.LogPosition;

/**
 * The log position that a majority of the group confirmed for a cycle.
 *
 * @param position the position; zero if none was confirmed
 * @param write whether it is the position of a write that the cycle committed
 */
public record Confirmation(LogPosition position, boolean write) {

    /** No position was confirmed. */
    public static final Confirmation NONE = new Confirmation(LogPosition.ZERO, false);

    /** Whether a position was confirmed. */
    public boolean isPresent() {
        return !position.equals(LogPosition.ZERO);
    }
}
