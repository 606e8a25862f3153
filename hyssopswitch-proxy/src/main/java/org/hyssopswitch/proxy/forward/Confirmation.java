package org.hyssopswitch.proxy.forward;

import org.hyssopswitch.core.position.LogPosition;

/**
 * What a majority of the group confirmed of a cycle.
 *
 * @param position the position; zero when nothing was confirmed
 * @param write whether the position is that of a write of the cycle
 */
public record Confirmation(LogPosition position, boolean write) {

    /** Nothing was confirmed. */
    public static final Confirmation NONE = new Confirmation(LogPosition.ZERO, false);

    /** Tells whether a position was confirmed. */
    public boolean isPresent() {
        return !position.equals(LogPosition.ZERO);
    }
}
