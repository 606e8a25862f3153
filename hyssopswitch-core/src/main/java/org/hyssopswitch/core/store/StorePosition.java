package org.hyssopswitch.core.store;

import java.util.Comparator;

/**
 * A position in the history of the store, ordered by era first.
 *
 * <p>A store that comes back from a copy gives out revisions again, so a revision alone does not identify a state.
 *
 * @param era era of the store, 0 where the store reports none
 * @param revision revision of the store within the era
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {

    /** The position before any other. */
    public static final StorePosition NONE = new StorePosition(-1, -1);

    private static final Comparator<StorePosition> ORDER =
            Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::revision);

    @Override
    public int compareTo(StorePosition other) {
        return ORDER.compare(this, other);
    }

    /**
     * Returns the later of this position and another.
     *
     * @param other the other position
     */
    public StorePosition max(StorePosition other) {
        return compareTo(other) >= 0 ? this : other;
    }

    @Override
    public String toString() {
        return era + "/" + revision;
    }
}
