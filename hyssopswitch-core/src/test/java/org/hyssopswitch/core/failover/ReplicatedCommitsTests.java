package org.hyssopswitch.core.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hyssopswitch.core.position.LogPosition;
import org.junit.jupiter.api.Test;

class ReplicatedCommitsTests {

    @Test
    void includeWhatAllReplicasHaveReceived() {
        ReplicatedCommits commits = ReplicatedCommits.receivedByAll(List.of(replica(3, 90), replica(3, 88)));
        assertTrue(commits.include(new LogPosition(3, 88)));
        assertFalse(commits.include(new LogPosition(3, 89)));
    }

    /** Guards against a commit that is taken for kept because a later primary has gone on from an earlier position. */
    @Test
    void includeNoCommitOfAnotherTerm() {
        ReplicatedCommits commits = ReplicatedCommits.receivedByAll(List.of(replica(4, 80)));
        assertFalse(commits.include(new LogPosition(3, 70)));
        assertFalse(commits.include(new LogPosition(5, 70)));
        assertEquals(ReplicatedCommits.NONE, ReplicatedCommits.receivedByAll(List.of(replica(4, 80), replica(3, 90))));
    }

    /** Guards against a server that leads and is counted as one that has received the commits of another primary. */
    @Test
    void includeNothingOfAPrimary() {
        ReplicationStatus primary = new ReplicationStatus(true, 3, new LogPosition(3, 90));
        assertEquals(ReplicatedCommits.NONE, ReplicatedCommits.receivedByAll(List.of(primary)));
        assertEquals(ReplicatedCommits.NONE, ReplicatedCommits.receivedByAll(List.of()));
    }

    /** Guards against a term that a replica knows from a pause only, and that never began. */
    @Test
    void theLatestTermIsOneInWhichAPrimaryHasLed() {
        assertEquals(3, new ReplicationStatus(false, 4, new LogPosition(3, 90)).latestLedTerm());
        assertEquals(4, new ReplicationStatus(true, 4, new LogPosition(3, 90)).latestLedTerm());
    }

    private static ReplicationStatus replica(long term, long offset) {
        return new ReplicationStatus(false, term, new LogPosition(term, offset));
    }
}
