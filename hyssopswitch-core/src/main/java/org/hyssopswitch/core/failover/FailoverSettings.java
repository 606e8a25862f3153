package org.hyssopswitch.core.failover;

/**
 * Timings of failure detection and promotion.
 *
 * @param activePollMillis interval between status calls to an endpoint that is in use or whose group is suspect
 * @param idlePollMillis interval between status calls to an unused endpoint, and between reports that contain no change
 * @param suspectContactMillis age of the last replication contact at which a replica makes its group suspect
 * @param unresponsivePrimaryContactMillis age at which replication contact counts as lost while the primary's home
 *     sends no reports or reports the primary as unresponsive
 * @param responsivePrimaryContactMillis age at which replication contact counts as lost while the primary responds to
 *     its home
 * @param maxReportAgeMillis maximum age at which a report of an endpoint is still taken into account
 * @param unreportedPrimaryMillis time without any report of a primary after which it is replaced even if its replicas
 *     are in contact with it
 * @param abandonedFenceMillis time after which a fence without a promotion counts as abandoned
 * @param rankDelayMillis delay per rank before a further coordinator starts
 */
public record FailoverSettings(
        long activePollMillis,
        long idlePollMillis,
        long suspectContactMillis,
        long unresponsivePrimaryContactMillis,
        long responsivePrimaryContactMillis,
        long maxReportAgeMillis,
        long unreportedPrimaryMillis,
        long abandonedFenceMillis,
        long rankDelayMillis) {

    /** Settings with which a promotion takes place about a second after the primary is cut off. */
    public static final FailoverSettings DEFAULT =
            new FailoverSettings(200, 1_000, 300, 800, 1_500, 2_500, 4_000, 1_500, 300);

    /** Checks the ranges. */
    public FailoverSettings {
        if (activePollMillis < 1 || idlePollMillis < activePollMillis || suspectContactMillis < 1) {
            throw new IllegalArgumentException("polls must satisfy 1 <= active <= idle and suspect age >= 1, but are "
                    + activePollMillis + ", " + idlePollMillis + " and " + suspectContactMillis);
        }
        if (unresponsivePrimaryContactMillis < suspectContactMillis
                || responsivePrimaryContactMillis < unresponsivePrimaryContactMillis) {
            throw new IllegalArgumentException(
                    "contact ages must satisfy suspect <= unresponsive <= responsive, but are " + suspectContactMillis
                            + ", " + unresponsivePrimaryContactMillis + " and " + responsivePrimaryContactMillis);
        }
        if (maxReportAgeMillis < idlePollMillis || unreportedPrimaryMillis < maxReportAgeMillis) {
            throw new IllegalArgumentException("times must satisfy idle poll <= report <= unreported primary, but are "
                    + idlePollMillis + ", " + maxReportAgeMillis + " and " + unreportedPrimaryMillis);
        }
        if (abandonedFenceMillis < 1 || rankDelayMillis < 1) {
            throw new IllegalArgumentException("abandoned fence time and rank delay must be positive, but are "
                    + abandonedFenceMillis + " and " + rankDelayMillis);
        }
    }
}
