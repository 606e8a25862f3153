package org.hyssopswitch.core.failover;

/**
 * Times of failure detection and promotion.
 *
 * @param activePollMillis time between two status calls to an endpoint in use or in doubt
 * @param idlePollMillis time between two status calls to an endpoint that nobody uses, and between two reports
 *     without news
 * @param doubtMillis age of the replication contact from which a replica is polled as in doubt
 * @param silentContactMillis age of the replication contact that counts as lost while the primary's home is silent
 *     or reports the primary as silent
 * @param answeringContactMillis age of the replication contact that counts as lost while the primary answers its home
 * @param reportAgeMillis age up to which a report of an endpoint in doubt counts
 * @param stuckFenceMillis time after which a fence without a promotion is taken as abandoned
 * @param rankDelayMillis delay of each further orderer
 * @param attemptMillis time after which a promotion attempt is given up
 */
public record FailoverSettings(
        long activePollMillis,
        long idlePollMillis,
        long doubtMillis,
        long silentContactMillis,
        long answeringContactMillis,
        long reportAgeMillis,
        long stuckFenceMillis,
        long rankDelayMillis,
        long attemptMillis) {

    /** Promotes about a second after the primary was cut off. */
    public static final FailoverSettings DEFAULT =
            new FailoverSettings(200, 1_000, 300, 800, 1_500, 2_500, 1_500, 300, 3_000);

    /** Checks the ranges. */
    public FailoverSettings {
        if (activePollMillis < 1 || idlePollMillis < activePollMillis || doubtMillis < 1) {
            throw new IllegalArgumentException("polls must satisfy 1 <= active <= idle and doubt >= 1, but are "
                    + activePollMillis + ", " + idlePollMillis + " and " + doubtMillis);
        }
        if (silentContactMillis < doubtMillis || answeringContactMillis < silentContactMillis) {
            throw new IllegalArgumentException("contact ages must satisfy doubt <= silent <= answering, but are "
                    + doubtMillis + ", " + silentContactMillis + " and " + answeringContactMillis);
        }
        if (reportAgeMillis < idlePollMillis || stuckFenceMillis < 1 || rankDelayMillis < 1 || attemptMillis < 1) {
            throw new IllegalArgumentException("report age must reach the idle poll and times be positive, but are "
                    + reportAgeMillis + ", " + stuckFenceMillis + ", " + rankDelayMillis + " and " + attemptMillis);
        }
    }
}
