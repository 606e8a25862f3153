package org.hyssopswitch.core.configuration;

/**
 * Times and bounds of the spread of configurations.
 *
 * @param relaysPerCell VMs of a cell that watch the platform
 * @param queryIntervalMillis mean time between two queries of one VM
 * @param answerTimeoutMillis time after which a peer's answer is no longer awaited
 * @param watchTimeoutMillis time after which a watch without an answer is repeated; longer than a watch waits
 * @param minRetryDelayMillis first delay after a failed watch
 * @param maxRetryDelayMillis greatest delay after a failed watch
 * @param staleAfterMillis age beyond which VMs other than relays ask the platform, and relays ask other cells
 * @param fallbackIntervalMillis mean time between two such calls, over all VMs of a cell together
 * @param pageBytes bytes of subtrees after which a page ends
 * @param serveBytesPerSecond bytes of pages that a VM sends per second
 * @param maxOlderBytes bytes of older values that are kept to encode newer ones against
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

    /** In force in a cell of 48 VMs well within five seconds, at a few hundred bytes per second and VM. */
    public static final ConfigurationSettings DEFAULT =
            new ConfigurationSettings(2, 500, 2_000, 60_000, 250, 5_000, 15_000, 5_000, 256 << 10, 4 << 20, 8 << 20);

    /** Checks the ranges. */
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
