package org.hyssopswitch.core.failover;

/**
 * Times of failure detection and promotion.
 *
 * @param activePollMillis time between two status calls to an endpoint in use or in doubt
 * @param idlePollMillis time between two status calls to an endpoint that nobody uses, and between two reports
 *     without news
 * @param suspectContactMillis age of the replication contact from which a replica is polled as in doubt
 * @param unresponsivePrimaryContactMillis age of the replication contact that counts as lost while the primary's home is silent
 *     or reports the primary as silent
 * @param responsivePrimaryContactMillis age of the replication contact that counts as lost while the primary answers its home
 * @param maxReportAgeMillis age up to which a report of an endpoint in doubt counts
 * @param unreportedPrimaryMillis time without any report of a primary after which it is replaced although its replicas are in
 *     contact with it
 * @param abandonedFenceMillis time after which a fence without a promotion is taken as abandoned
 * @param rankDelayMillis delay of each further orderer
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

    /** Promotes about a second after the primary was cut off. */
    public static final FailoverSettings DEFAULT =
            new FailoverSettings(200, 1_000, 300, 800, 1_500, 2_500, 4_000, 1_500, 300);

    /** Checks the ranges. */
    public FailoverSettings {
        if (activePollMillis < 1 || idlePollMillis < activePollMillis || suspectContactMillis < 1) {
            throw new IllegalArgumentException("polls must satisfy 1 <= active <= idle and doubt >= 1, but are "
                    + activePollMillis + ", " + idlePollMillis + " and " + suspectContactMillis);
        }
        if (unresponsivePrimaryContactMillis < suspectContactMillis
                || responsivePrimaryContactMillis < unresponsivePrimaryContactMillis) {
            throw new IllegalArgumentException(
                    "contact ages must satisfy doubt <= silent <= answering, but are " + suspectContactMillis + ", "
                            + unresponsivePrimaryContactMillis + " and " + responsivePrimaryContactMillis);
        }
        if (maxReportAgeMillis < idlePollMillis || unreportedPrimaryMillis < maxReportAgeMillis) {
            throw new IllegalArgumentException("ages must satisfy idle poll <= report <= without a home, but are "
                    + idlePollMillis + ", " + maxReportAgeMillis + " and " + unreportedPrimaryMillis);
        }
        if (abandonedFenceMillis < 1 || rankDelayMillis < 1) {
            throw new IllegalArgumentException("the time of a stuck fence and the rank delay must be positive, but are "
                    + abandonedFenceMillis + " and " + rankDelayMillis);
        }
    }
}
