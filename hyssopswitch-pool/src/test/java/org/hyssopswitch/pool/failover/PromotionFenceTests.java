package org.hyssopswitch.pool.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hyssopswitch.pool.testing.FakeEndpoint;
import org.hyssopswitch.pool.testing.FakeReplication;
import org.junit.jupiter.api.Test;

/**
 * Guards against the loss of commits that a primary acknowledges while it is replaced, and against replicas that stay
 * paused after a promotion or after one that did not take place.
 */
class PromotionFenceTests {

    /** Longest time without an acknowledged commit while the primary leads, milliseconds: replicas receive within 60 ms. */
    private static final long STEADY_GAP_MILLIS = 130;

    /** Age of the lists of servers, milliseconds. */
    private static final long LIST_DELAY_MILLIS = 2_000;

    /** Longest time without a commit of which callers are told while there is no leader, milliseconds. */
    private static final long LEADERLESS_GAP_MILLIS = 500;

    private final SynchronousFleet fleet = new SynchronousFleet(1);

    /** Guards against commits that are acknowledged between the choice of the target and the switch. */
    @Test
    void losesNoCommitOfAPrimaryThatSomeVmsCannotReach() {
        for (int round = 0; round < 20; round++) {
            fleet.reportCut(3);
            fleet.advance(2_000);
        }
        assertEquals(20, fleet.promotions());
        fleet.assertNothingLost();
        fleet.assertNothingPaused();
    }

    @Test
    void losesNoCommitOfAPrimaryThatIsReplacedAsPlanned() {
        for (int round = 0; round < 20; round++) {
            fleet.drainPrimary();
            fleet.advance(2_000);
            fleet.endDrains();
        }
        assertEquals(20, fleet.promotions());
        fleet.assertNothingLost();
        fleet.assertNothingPaused();
    }

    /** Guards against a pause of writes for the time that the promotion of an unplanned replacement takes. */
    @Test
    void commitsAreAcknowledgedUntilThePromotionTakesEffect() {
        fleet.replication().takeLongestGapMillis();
        fleet.reportCut(3);
        fleet.advance(2_000);
        assertEquals(1, fleet.promotions());
        assertTrue(fleet.replication().takeLongestGapMillis() <= STEADY_GAP_MILLIS);
    }

    /** Guards against a late order that promotes its target after the others have been resumed. */
    @Test
    void losesNoCommitToAnOrderThatIsCarriedOutLate() {
        for (int round = 0; round < 20; round++) {
            fleet.replication().setOutcome(FakeReplication.Outcome.LATE);
            fleet.reportCut(3);
            fleet.advance(600);
            fleet.replication().setOutcome(FakeReplication.Outcome.ANSWERED);
            fleet.advance(22_000);
        }
        fleet.assertNothingLost();
        fleet.assertNothingPaused();
    }

    /** Guards against replicas that stay paused when the primary need not be replaced any more. */
    @Test
    void resumesTheReplicasOfAPromotionThatWasNotCarriedOut() {
        fleet.replication().setOutcome(FakeReplication.Outcome.UNAVAILABLE);
        fleet.replication().takeLongestGapMillis();
        fleet.reportCut(3);
        fleet.advance(1_500);
        assertEquals(1, fleet.pausedReplicas());
        assertTrue(fleet.replication().takeLongestGapMillis() <= STEADY_GAP_MILLIS);
        fleet.replication().setOutcome(FakeReplication.Outcome.ANSWERED);
        fleet.advance(22_000);
        assertEquals(0, fleet.promotions());
        fleet.assertNothingPaused();
        assertTrue(fleet.replication().takeLongestGapMillis() <= STEADY_GAP_MILLIS);
    }

    /** Guards against replicas that stay paused because the leader ended after it had paused them. */
    @Test
    void resumesTheReplicasThatAnEarlierLeaderPaused() {
        fleet.replication().setOutcome(FakeReplication.Outcome.UNAVAILABLE);
        fleet.reportCut(3);
        fleet.advance(200);
        assertEquals(1, fleet.pausedReplicas());
        fleet.stopLeader();
        fleet.advance(1_500);
        assertEquals(1, fleet.pausedReplicas());
        fleet.replication().setOutcome(FakeReplication.Outcome.ANSWERED);
        fleet.startStopped();
        fleet.advance(25_000);
        assertEquals(0, fleet.promotions());
        fleet.assertNothingPaused();
    }

    /** Guards against a replica that had started again unseen, is paused as its earlier process and stays paused. */
    @Test
    void resumesAReplicaThatHadStartedAgainUnseen() {
        fleet.setListDelayMillis(LIST_DELAY_MILLIS);
        fleet.advance(5_000);
        List.of("e2", "e3").forEach(id -> fleet.replication().startAfresh(fleet.endpoint(id)));
        fleet.advance(100);
        fleet.replication().setOutcome(FakeReplication.Outcome.UNAVAILABLE);
        fleet.reportCut(3);
        fleet.advance(1_000);
        assertEquals(1, fleet.pausedReplicas());
        fleet.advance(25_000);
        fleet.assertNothingPaused();
    }

    /** Guards against commits that only a server has received which is not listed yet, and which the target lacks. */
    @Test
    void tellsCallersOfNoCommitThatOnlyAnUnlistedServerHas() {
        fleet.setListDelayMillis(LIST_DELAY_MILLIS);
        fleet.advance(5_000);
        fleet.cutPrimaryFromReplicas(4_000);
        fleet.reportCut(3);
        fleet.advance(100);
        fleet.addReplica();
        fleet.advance(5_000);
        assertEquals(1, fleet.promotions());
        assertEquals(1, fleet.replication().lost().size());
        fleet.assertCallersWereToldOfNothingLost();
    }

    /** Guards against commits that only a paused replica has received which started again and lost its pause. */
    @Test
    void tellsCallersOfNoCommitThatOnlyARestartedReplicaHas() {
        fleet.cutPrimaryFromReplicas(4_000);
        fleet.reportCut(3);
        fleet.advance(100);
        FakeEndpoint paused = fleet.pausedEndpoint();
        fleet.replication().setDeaf(paused, false);
        fleet.replication().startAfresh(paused);
        fleet.advance(5_000);
        assertEquals(1, fleet.promotions());
        assertEquals(1, fleet.replication().lost().size());
        fleet.assertCallersWereToldOfNothingLost();
    }

    /** Guards against another target while the order for the first one, which was overtaken, may still be carried out. */
    @Test
    void keepsATargetThatARestartedReplicaHasOvertaken() {
        fleet.replication().setOutcome(FakeReplication.Outcome.UNAVAILABLE);
        fleet.reportCut(3);
        fleet.advance(500);
        FakeEndpoint target = fleet.endpoint(fleet.replication().orders().get(0).endpoint());
        FakeEndpoint other = fleet.pausedEndpoint();
        for (int i = 0; i < 60; i++) {
            fleet.replication().startAfresh(other);
            fleet.advance(100);
            fleet.reportCut(3);
            fleet.advance(i);
            fleet.replication().setDeaf(target, true);
            fleet.advance(700);
            fleet.replication().setDeaf(target, false);
        }
        List<String> others = fleet.replication().orders().stream()
                .map(PromotionAuthority.Order::endpoint)
                .filter(endpoint -> !endpoint.equals(target.id()))
                .toList();
        assertEquals(List.of(), others);
    }

    /** Guards against callers that are told of nothing while the leader does not answer. */
    @Test
    void tellsCallersOfCommitsThatAllReplicasHaveWhileThereIsNoLeader() {
        fleet.setStoreUnavailable(true);
        fleet.stopLeader();
        fleet.advance(1_000);
        fleet.replication().takeLongestToldGapMillis();
        fleet.advance(5_000);
        assertTrue(fleet.replication().takeLongestToldGapMillis() <= LEADERLESS_GAP_MILLIS);
    }

    /** Guards against a target that receives nothing, of which the pause of the others would keep all commits waiting. */
    @Test
    void replacesAPrimaryWhoseOtherReplicaReceivesNothing() {
        fleet.replication().setDeaf(fleet.endpoint("e2"), true);
        fleet.advance(500);
        fleet.reportCut(3);
        fleet.advance(2_000);
        assertEquals(1, fleet.promotions());
        assertTrue(fleet.endpoint("e3").isPrimary());
        fleet.replication().setDeaf(fleet.endpoint("e2"), false);
        fleet.advance(5_000);
        fleet.assertNothingLost();
        fleet.assertNothingPaused();
    }

    /** Guards against a promotion that is ordered although a replica may go on receiving. */
    @Test
    void keepsThePrimaryWhileAReplicaDoesNotConfirmThePause() {
        fleet.endpoint("e2").setUnresponsive(true);
        fleet.advance(1_000);
        fleet.reportCut(3);
        fleet.advance(1_000);
        assertEquals(0, fleet.promotions());
        assertFalse(fleet.endpoint("e3").isPaused());
        fleet.endpoint("e2").setUnresponsive(false);
        fleet.advance(5_000);
        fleet.assertNothingPaused();
    }
}
