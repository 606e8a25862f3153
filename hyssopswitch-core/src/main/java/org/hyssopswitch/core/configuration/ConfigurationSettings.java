package org.hyssopswitch.core.configuration;

/**
 * Times and bounds of the spread of configurations.
 *
 * @param relays VMs of a cell that watch the platform
 * @param queryMillis mean time between two queries of one VM
 * @param answerTimeoutMillis time after which a peer's answer is no longer awaited
 * @param watchTimeoutMillis time after which a watch without an answer is repeated; longer than a watch waits
 * @param minRetryMillis first delay after a failed watch
 * @param maxRetryMillis greatest delay after a failed watch
 * @param staleMillis age beyond which VMs other than relays ask the platform, and relays ask other cells
 * @param fallbackMillis mean time between two such calls, over all VMs of a cell together
 * @param pageBytes bytes of subtrees after which a page ends
 * @param serveBytesPerSecond bytes of pages that a VM sends per second
 * @param olderBytes bytes of older values that are kept to encode newer ones against
 */
public record ConfigurationSettings(
        int relays,
        long queryMillis,
        long answerTimeoutMillis,
        long watchTimeoutMillis,
        long minRetryMillis,
        long maxRetryMillis,
        long staleMillis,
        long fallbackMillis,
        int pageBytes,
        long serveBytesPerSecond,
        long olderBytes) {

    /** In force in a cell of 48 VMs well within five seconds, at a few hundred bytes per second and VM. */
    public static final ConfigurationSettings DEFAULT =
            new ConfigurationSettings(2, 500, 2_000, 60_000, 250, 5_000, 15_000, 5_000, 256 << 10, 4 << 20, 8 << 20);

    /** Checks the ranges. */
    public ConfigurationSettings {
        if (relays < 1 || queryMillis < 1 || answerTimeoutMillis < 1 || watchTimeoutMillis < 1) {
            throw new IllegalArgumentException("relays and times must be positive, but are " + relays + ", "
                    + queryMillis + ", " + answerTimeoutMillis + " and " + watchTimeoutMillis);
        }
        if (minRetryMillis < 1 || maxRetryMillis < minRetryMillis || staleMillis < 1 || fallbackMillis < 1) {
            throw new IllegalArgumentException("retry, stale and fallback times must be positive and ordered, but are "
                    + minRetryMillis + ", " + maxRetryMillis + ", " + staleMillis + " and " + fallbackMillis);
        }
        if (pageBytes < 1 || serveBytesPerSecond < 1 || olderBytes < 0) {
            throw new IllegalArgumentException("page and serve bytes must be positive, but are " + pageBytes + ", "
                    + serveBytesPerSecond + " and " + olderBytes);
        }
    }
}
