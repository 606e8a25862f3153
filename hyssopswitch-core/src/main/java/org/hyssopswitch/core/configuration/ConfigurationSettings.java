package org.hyssopswitch.core.configuration;

/**
 * Intervals, timeouts and limits of the distribution of configurations.
 *
 * @param relaysPerCell VMs of a cell that watch the platform
 * @param queryIntervalMillis mean time between two queries of one VM
 * @param answerTimeoutMillis time after which a query or request to a peer times out
 * @param watchTimeoutMillis time after which an unanswered watch is repeated; must exceed the time that the platform
 *     holds a watch
 * @param minRetryDelayMillis initial delay after a failed watch
 * @param maxRetryDelayMillis maximum delay after a failed watch
 * @param staleAfterMillis age of the last confirmation beyond which VMs other than relays watch the platform and relays
 *     query other cells
 * @param fallbackIntervalMillis mean time between two such watches, over all VMs of a cell together; also between two
 *     such queries of one relay
 * @param pageBytes bytes of encoded subtrees after which a page ends; the last subtree may exceed it
 * @param serveBytesPerSecond maximum bytes of encoded subtrees that a VM sends per second
 * @param maxOlderBytes maximum bytes of older values kept as bases for encoding newer ones
 */
public record ConfigurationSettings(
        int relaysPerCell,
        long queryIntervalMillis,
        long answerTimeoutMillis,
        long watchTimeoutMillis,
        long minRetryDelayMillis,
        long maxRetryDelayMillis,
        long staleAfterMillis,
        long fallbackIntervalMillis,
        int pageBytes,
        long serveBytesPerSecond,
        long maxOlderBytes) {

    /** Bring a change into force in a cell of 48 VMs well within 5 s, at a few hundred bytes per second and VM. */
    public static final ConfigurationSettings DEFAULT =
            new ConfigurationSettings(2, 500, 2_000, 60_000, 250, 5_000, 15_000, 5_000, 256 << 10, 4 << 20, 8 << 20);

    /** Validates the ranges. */
    public ConfigurationSettings {
        if (relaysPerCell < 1 || queryIntervalMillis < 1 || answerTimeoutMillis < 1 || watchTimeoutMillis < 1) {
            throw new IllegalArgumentException("relays and times must be positive, but are " + relaysPerCell + ", "
                    + queryIntervalMillis + ", " + answerTimeoutMillis + " and " + watchTimeoutMillis);
        }
        if (minRetryDelayMillis < 1
                || maxRetryDelayMillis < minRetryDelayMillis
                || staleAfterMillis < 1
                || fallbackIntervalMillis < 1) {
            throw new IllegalArgumentException(
                    "retry, stale and fallback times must be positive and ordered, but are " + minRetryDelayMillis
                            + ", " + maxRetryDelayMillis + ", " + staleAfterMillis + " and " + fallbackIntervalMillis);
        }
        if (pageBytes < 1 || serveBytesPerSecond < 1 || maxOlderBytes < 0) {
            throw new IllegalArgumentException("page and serve bytes must be positive, but are " + pageBytes + ", "
                    + serveBytesPerSecond + " and " + maxOlderBytes);
        }
    }
}
