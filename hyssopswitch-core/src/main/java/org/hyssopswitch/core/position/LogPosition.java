package org.hyssopswitch.core.position;

import java.util.Comparator;

/**
 * A position in the log of a database group, ordered by term and then by offset.
 *
 * @param term term of the primary that wrote the entry, 0 or more
 * @param offset number of log entries up to and including the entry, 0 or more
 */
public record LogPosition(long term, long offset) implements Comparable<LogPosition> {

    /** The position of an empty log. */
    public static final LogPosition ZERO = new LogPosition(0, 0);

    private static final Comparator<LogPosition> ORDER =
            Comparator.comparingLong(LogPosition::term).thenComparingLong(LogPosition::offset);

    /** Checks the ranges. */
    public LogPosition {
        if (term < 0 || offset < 0) {
            throw new IllegalArgumentException(
                    "term and offset must not be negative, but are " + term + " and " + offset);
        }
    }

    /**
     * Returns the later of two positions.
     *
     * @param other the position to compare with
     */
    public LogPosition max(LogPosition other) {
        return compareTo(other) >= 0 ? this : other;
    }

    @Override
    public int compareTo(LogPosition other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return term + "/" + offset;
    }
}
