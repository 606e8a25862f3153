package org.hyssopswitch.core.membership;

/**
 * Times and bounds of the membership protocol.
 *
 * @param periodMillis time between two rounds of heartbeats
 * @param fanout members that get a heartbeat per round
 * @param probeTimeoutMillis time without an answer after which others are asked to probe
 * @param indirectTimeoutMillis time without an indirect answer after which a member is suspected
 * @param suspicionMillis time in which a suspected member may refute
 * @param minListIntervalMillis least mean time between two reads of the platform's list by one VM
 * @param listIntervalMillisPerVm mean time between two reads of the platform's list by all VMs together
 */
public record MembershipSettings(
        long periodMillis,
        int fanout,
        long probeTimeoutMillis,
        long indirectTimeoutMillis,
        long suspicionMillis,
        long minListIntervalMillis,
        long listIntervalMillisPerVm) {

    /** Detects a dead VM within about two seconds at two heartbeats per period. */
    public static final MembershipSettings DEFAULT = new MembershipSettings(250, 2, 250, 400, 1_000, 2_000, 500);

    /** Checks the ranges. */
    public MembershipSettings {
        if (periodMillis < 1 || fanout < 1 || probeTimeoutMillis < 1 || indirectTimeoutMillis < 1) {
            throw new IllegalArgumentException("period, fanout and timeouts must be positive, but are " + periodMillis
                    + ", " + fanout + ", " + probeTimeoutMillis + " and " + indirectTimeoutMillis);
        }
        if (suspicionMillis < 1 || minListIntervalMillis < 1 || listIntervalMillisPerVm < 1) {
            throw new IllegalArgumentException("suspicion and list times must be positive, but are " + suspicionMillis
                    + ", " + minListIntervalMillis + " and " + listIntervalMillisPerVm);
        }
    }
}
