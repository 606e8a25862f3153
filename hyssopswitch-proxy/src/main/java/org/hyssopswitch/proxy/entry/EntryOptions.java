package org.hyssopswitch.proxy.entry;

/**
 * Bounds for callers.
 *
 * @param maxConnections connections at once, 1 or more
 * @param loginMillis milliseconds in which a caller must log in, 1 or more
 * @param statementMillis milliseconds that a statement may take, its wait included, 1 or more
 */
public record EntryOptions(int maxConnections, long loginMillis, long statementMillis) {

    /** Bounds that fit a small VM. */
    public static final EntryOptions DEFAULT = new EntryOptions(10_000, 10_000, 30_000);

    /** Checks the ranges. */
    public EntryOptions {
        if (maxConnections < 1 || loginMillis < 1 || statementMillis < 1) {
            throw new IllegalArgumentException("connections and times must be positive, but are " + maxConnections
                    + ", " + loginMillis + " and " + statementMillis);
        }
    }
}
