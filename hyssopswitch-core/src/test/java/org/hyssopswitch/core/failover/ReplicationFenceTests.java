package org.hyssopswitch.core.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.hyssopswitch.core.position.LogPosition;
import org.junit.jupiter.api.Test;

class ReplicationFenceTests {

    private static final int COPIES = 2;
    private static final CommitHolder PRIMARY = holder("p");
    private static final CommitHolder TARGET = holder("a");
    private static final CommitHolder OTHER = holder("b");

    private final CommitHolders holders =
            CommitHolders.UNKNOWN.withListed(List.of(PRIMARY, TARGET, OTHER), PRIMARY.endpoint());
    private final ReplicationFence fence = ReplicationFence.around(
            TARGET, Map.of(PRIMARY, status(true, 3, 90), TARGET, status(false, 3, 88), OTHER, status(false, 3, 85)));

    @Test
    void pausesAllReplicasButTheTargetWithALaterTerm() {
        assertEquals(List.of(OTHER), fence.members());
        assertEquals(4, fence.term());
    }

    @Test
    void coversTheCommitsOnceTheTargetHasWhatThePausedReplicaHas() {
        Map<CommitHolder, ReplicationStatus> paused = Map.of(OTHER, status(false, 4, 89));
        assertFalse(covers(paused, 88));
        assertTrue(covers(paused, 89));
    }

    /** Guards against an answer that does not mean that the replica is paused. */
    @Test
    void doesNotCoverTheCommitsOfAReplicaThatMayGoOnReceiving() {
        assertFalse(covers(Map.of(), 90));
        assertFalse(covers(Map.of(OTHER, status(true, 3, 85)), 90));
        assertFalse(covers(Map.of(OTHER, status(false, 5, 85)), 90));
        assertFalse(covers(Map.of(OTHER, new ReplicationStatus(false, 4, new LogPosition(4, 1))), 90));
    }

    private boolean covers(Map<CommitHolder, ReplicationStatus> paused, long targetOffset) {
        return fence.covers(holders, COPIES, paused, at(targetOffset));
    }

    private static ReplicationStatus status(boolean primary, long term, long offset) {
        return new ReplicationStatus(primary, term, at(offset));
    }

    private static LogPosition at(long offset) {
        return new LogPosition(3, offset);
    }

    private static CommitHolder holder(String endpoint) {
        return new CommitHolder(endpoint, 1, "10.0.0." + (int) endpoint.charAt(0), 1_000, false);
    }
}
