package org.hyssopswitch.pool.failover;

import java.util.Objects;

/**
 * Whether replicas of a group may be paused for a promotion, as recorded in the store before they are paused. A leader that
 * ends leaves the record to the next one, which ends the pause.
 *
 * @param stage what may be under way
 * @param target endpoint to be promoted, which is not paused; empty once no promotion may take effect
 * @param leadership number of the leadership in which the record was written, higher for later ones
 */
public record FenceRecord(Stage stage, String target, long leadership) {

    /** Checks that nothing is missing. */
    public FenceRecord {
        Objects.requireNonNull(stage, "stage");
        Objects.requireNonNull(target, "target");
    }

    /** What may be under way in a group. */
    public enum Stage {
        /** No replica is paused. */
        OPEN,
        /** Replicas may be paused, and the promotion of the target may be ordered or take effect. */
        FENCED,
        /** Replicas may be paused, and no promotion takes effect any more. */
        RELEASING
    }
}
