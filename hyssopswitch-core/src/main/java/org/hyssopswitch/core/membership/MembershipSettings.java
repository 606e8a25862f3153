package org.hyssopswitch.core.membership;

/**
 * Intervals, timeouts and bounds of the membership protocol.
 *
 * @param periodMillis interval between two rounds of heartbeats
 * @param fanout number of members that receive a heartbeat per round
 * @param probeTimeoutMillis time without an acknowledgement after which indirect probes are requested from other
 *     members
 * @param indirectTimeoutMillis time without an acknowledgement of the indirect probes after which a member is suspected
 * @param suspicionMillis time after which a suspected member that has not refuted is declared dead
 * @param minListIntervalMillis lower bound of the mean interval between two reads of the platform's list by one VM
 * @param listIntervalMillisPerVm mean interval between two reads of the platform's list by all VMs together
 */
public record MembershipSettings(
        long periodMillis,
        int fanout,
        long probeTimeoutMillis,
        long indirectTimeoutMillis,
        long suspicionMillis,
        long minListIntervalMillis,
        long listIntervalMillisPerVm) {

    /** Defaults: with two heartbeats per period, a dead VM is detected within about two seconds. */
    public static final MembershipSettings DEFAULT = new MembershipSettings(250, 2, 250, 400, 1_000, 2_000, 500);

    /** Checks the ranges. */
    public MembershipSettings {
        if (periodMillis < 1 || fanout < 1 || probeTimeoutMillis < 1 || indirectTimeoutMillis < 1) {
            throw new IllegalArgumentException("period, fanout and probe timeouts must be positive, but are "
                    + periodMillis + ", " + fanout + ", " + probeTimeoutMillis + " and " + indirectTimeoutMillis);
        }
        if (suspicionMillis < 1 || minListIntervalMillis < 1 || listIntervalMillisPerVm < 1) {
            throw new IllegalArgumentException("suspicion timeout and list intervals must be positive, but are "
                    + suspicionMillis + ", " + minListIntervalMillis + " and " + listIntervalMillisPerVm);
        }
    }
}
