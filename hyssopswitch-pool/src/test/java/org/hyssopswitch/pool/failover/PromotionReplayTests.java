package org.hyssopswitch.pool.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.hyssopswitch.pool.testing.FakeEndpoint;
import org.hyssopswitch.pool.testing.FakeReplication.Outcome;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Replays disturbances of promotions with overlaps: cuts, planned stops, crashes, replicas that receive or answer nothing,
 * late orders, outages of the store and leaders that end or are cut off. No acknowledged commit is lost, and once all is
 * over, no replica stays paused and the group commits.
 */
class PromotionReplayTests {

    private static final int STEPS = 40;
    private static final int MAX_STEP_MILLIS = 1_200;
    private static final int MAX_DISTURBANCE_MILLIS = 4_000;

    /** Greatest age of the lists of servers, milliseconds. */
    private static final int MAX_LIST_DELAY_MILLIS = 2_500;

    private static final int MAX_SERVERS = 9;

    /** Time after the last disturbance in which the group must be as before, milliseconds. */
    private static final long RECOVERY_MILLIS = 30_000;

    /** Longest time without an acknowledged commit afterwards, milliseconds. */
    private static final long STEADY_GAP_MILLIS = 150;

    /** Seed in which a leader that has been replaced found the pause of its successor and took it over. */
    private static final long LEADERS_TAKE_OVER_FROM_EACH_OTHER = 1_633;

    static Stream<Long> seeds() {
        return LongStream.concat(
                        LongStream.rangeClosed(1, Long.getLong("hyssopswitch.promotion.seeds", 60)),
                        LongStream.of(LEADERS_TAKE_OVER_FROM_EACH_OTHER))
                .boxed();
    }

    @ParameterizedTest
    @MethodSource("seeds")
    void losesNoCommitAndLeavesNothingPaused(long seed) {
        SynchronousFleet fleet = new SynchronousFleet(seed);
        Random random = new Random(seed);
        List<String> events = new ArrayList<>();
        for (int i = 0; i < STEPS; i++) {
            events.add(disturb(fleet, random));
            fleet.advance(random.nextInt(MAX_STEP_MILLIS));
        }
        fleet.advance(MAX_DISTURBANCE_MILLIS);
        heal(fleet);
        fleet.advance(RECOVERY_MILLIS);
        fleet.replication().takeLongestGapMillis();
        fleet.advance(2_000);
        long gapMillis = fleet.replication().takeLongestGapMillis();
        assertEquals(List.of(), fleet.replication().lost(), () -> "seed " + seed + " " + events);
        assertEquals(0, fleet.pausedReplicas(), () -> "seed " + seed + " " + events);
        assertTrue(gapMillis <= STEADY_GAP_MILLIS, () -> "seed " + seed + " gap " + gapMillis + " " + events);
    }

    /**
     * Guards against callers that are told of commits which only a server has received that the leader does not know: one
     * that starts, or starts again and is not paused any more, before the lists show it.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void tellsCallersOfNoCommitThatIsLostWhileServersStart(long seed) {
        SynchronousFleet fleet = new SynchronousFleet(seed);
        Random random = new Random(seed);
        List<String> events = new ArrayList<>();
        fleet.setListDelayMillis(random.nextInt(MAX_LIST_DELAY_MILLIS));
        for (int i = 0; i < STEPS; i++) {
            events.add(random.nextInt(3) > 0 ? startServers(fleet, random) : disturb(fleet, random));
            fleet.advance(random.nextInt(MAX_STEP_MILLIS));
        }
        fleet.advance(MAX_DISTURBANCE_MILLIS);
        heal(fleet);
        fleet.advance(RECOVERY_MILLIS);
        fleet.replication().takeLongestToldGapMillis();
        fleet.advance(2_000);
        long gapMillis = fleet.replication().takeLongestToldGapMillis();
        assertEquals(List.of(), fleet.replication().toldAndLost(), () -> "seed " + seed + " " + events);
        assertEquals(0, fleet.pausedReplicas(), () -> "seed " + seed + " " + events);
        assertTrue(gapMillis <= STEADY_GAP_MILLIS, () -> "seed " + seed + " gap " + gapMillis + " " + events);
    }

    /** Cuts the primary off from the replicas, and has servers start and start again before and after that. */
    private static String startServers(SynchronousFleet fleet, Random random) {
        int cutMillis = 1_000 + random.nextInt(MAX_DISTURBANCE_MILLIS);
        int kind = random.nextInt(4);
        switch (kind) {
            case 0 -> {
                fleet.cutPrimaryFromReplicas(cutMillis);
                fleet.reportCutFor(3, cutMillis);
                fleet.later(random.nextInt(cutMillis), () -> startAfreshAny(fleet, random));
            }
            case 1 -> {
                fleet.cutPrimaryFromReplicas(cutMillis);
                fleet.reportCutFor(3, cutMillis);
                addReplica(fleet);
                fleet.later(random.nextInt(cutMillis), () -> addReplica(fleet));
            }
            case 2 -> {
                addReplica(fleet);
                fleet.later(random.nextInt(MAX_DISTURBANCE_MILLIS), () -> fleet.cutPrimaryFromReplicas(cutMillis));
                fleet.reportCutFor(3, cutMillis);
            }
            default -> startAfreshAny(fleet, random);
        }
        return "s" + kind;
    }

    private static void addReplica(SynchronousFleet fleet) {
        if (fleet.members().size() < MAX_SERVERS) {
            fleet.addReplica();
        }
    }

    /** One replica starts again, which a cut does not keep from receiving. */
    private static void startAfreshAny(SynchronousFleet fleet, Random random) {
        FakeEndpoint endpoint = fleet.endpoint(
                fleet.members().get(random.nextInt(fleet.members().size())));
        fleet.replication().setDeaf(endpoint, false);
        fleet.replication().startAfresh(endpoint);
    }

    /** Begins one disturbance, and ends it after a while. */
    private static String disturb(SynchronousFleet fleet, Random random) {
        FakeEndpoint endpoint = fleet.endpoint("e" + (1 + random.nextInt(3)));
        int kind = random.nextInt(12);
        switch (kind) {
            case 0, 1, 2 -> fleet.reportCutFor(3, 500 + random.nextInt(2_500));
            case 3 -> {
                fleet.drainPrimary();
                fleet.later(random.nextInt(MAX_DISTURBANCE_MILLIS), fleet::endDrains);
            }
            case 4 -> {
                fleet.replication().primary().forEach(primary -> {
                    fleet.replication().crash(primary);
                    fleet.later(random.nextInt(MAX_DISTURBANCE_MILLIS), () -> fleet.replication()
                            .restart(primary));
                });
            }
            case 5 -> {
                fleet.replication().setDeaf(endpoint, true);
                fleet.later(random.nextInt(MAX_DISTURBANCE_MILLIS), () -> fleet.replication()
                        .setDeaf(endpoint, false));
            }
            case 6 -> {
                endpoint.setUnresponsive(true);
                fleet.later(random.nextInt(MAX_DISTURBANCE_MILLIS), () -> endpoint.setUnresponsive(false));
            }
            case 7, 8 -> {
                fleet.replication().setOutcome(random.nextBoolean() ? Outcome.LATE : Outcome.UNAVAILABLE);
                fleet.later(random.nextInt(MAX_DISTURBANCE_MILLIS), () -> fleet.replication()
                        .setOutcome(Outcome.ANSWERED));
            }
            case 9 -> {
                fleet.stopLeader();
                fleet.later(random.nextInt(MAX_DISTURBANCE_MILLIS), fleet::startStopped);
            }
            case 10 -> {
                fleet.network().setPartitioned("vm-1", true);
                fleet.later(random.nextInt(MAX_DISTURBANCE_MILLIS), () -> fleet.network()
                        .setPartitioned("vm-1", false));
            }
            default -> {
                boolean drops = random.nextBoolean();
                if (drops) {
                    fleet.setStoreDropsResponses(true);
                } else {
                    fleet.setStoreUnavailable(true);
                }
                fleet.later(random.nextInt(MAX_DISTURBANCE_MILLIS), () -> {
                    fleet.setStoreDropsResponses(false);
                    fleet.setStoreUnavailable(false);
                });
            }
        }
        return kind + ":" + endpoint.id();
    }

    private static void heal(SynchronousFleet fleet) {
        fleet.startStopped();
        fleet.endDrains();
        fleet.network().setPartitioned("vm-1", false);
        fleet.replication().setOutcome(Outcome.ANSWERED);
    }
}
