package org.hyssopswitch.core.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.hyssopswitch.core.position.LogPosition;
import org.junit.jupiter.api.Test;

class CommitEvidenceTests {

    private static final CommitHolder PRIMARY = holder("p");
    private static final CommitHolder FIRST = holder("a");
    private static final CommitHolder SECOND = holder("b");
    private static final CommitHolder UNRECORDED = holder("n");
    private static final List<CommitHolder> HOLDERS = List.of(PRIMARY, FIRST, SECOND);

    private final CommitEvidence evidence = new CommitEvidence();

    CommitEvidenceTests() {
        evidence.update(HOLDERS, "p", Optional.empty());
        assertEquals(HOLDERS, evidence.required());
        evidence.add(PRIMARY, new ReplicationStatus(true, 3, new LogPosition(3, 90)));
        evidence.add(SECOND, replica(3, 80));
    }

    @Test
    void confirmsWhatAnyRecordedReplicaHasReceived() {
        assertEquals(List.of(FIRST, SECOND), evidence.required());
        assertTrue(evidence.add(FIRST, replica(3, 88)));
        assertFalse(evidence.add(SECOND, replica(3, 85)));
        assertEquals(new LogPosition(3, 88), evidence.confirmed().last());
    }

    @Test
    void confirmsNothingThatOnlyAnUnrecordedServerHasReceived() {
        assertFalse(evidence.add(UNRECORDED, replica(3, 90)));
    }

    /** Guards against a paused replica that has started again, and against a status that it sent before its pause. */
    @Test
    void confirmsWhatTheTargetHasReceivedDuringAPromotion() {
        evidence.update(HOLDERS, "p", Optional.of("a"));
        assertEquals(List.of(FIRST), evidence.required());
        assertFalse(evidence.add(SECOND, replica(3, 89)));
        assertTrue(evidence.add(FIRST, replica(3, 88)));
    }

    /** Guards against a former primary that comes back with commits of its term which the present one lacks. */
    @Test
    void confirmsNoCommitOfAnEarlierTermAfterAPromotion() {
        evidence.update(HOLDERS, "p", Optional.of("a"));
        evidence.update(HOLDERS, "a", Optional.empty());
        assertEquals(HOLDERS, evidence.required());
        assertFalse(evidence.add(PRIMARY, replica(3, 95)));
        assertFalse(evidence.add(FIRST, new ReplicationStatus(true, 4, new LogPosition(4, 89))));
        assertFalse(evidence.add(PRIMARY, replica(3, 95)));
        assertTrue(evidence.add(SECOND, replica(4, 89)));
    }

    /** Guards against writes that wait until the leader has ended the pause after a promotion. */
    @Test
    void confirmsWhatReplicasHaveReceivedOnceTheTargetLeads() {
        evidence.update(HOLDERS, "p", Optional.of("a"));
        assertFalse(evidence.add(FIRST, new ReplicationStatus(true, 4, new LogPosition(4, 89))));
        evidence.update(HOLDERS, "a", Optional.of("a"));
        assertEquals(List.of(PRIMARY, SECOND), evidence.required());
        assertFalse(evidence.add(PRIMARY, replica(3, 95)));
        assertTrue(evidence.add(SECOND, replica(4, 90)));
        evidence.update(HOLDERS, "a", Optional.empty());
        assertTrue(evidence.add(PRIMARY, replica(4, 91)));
    }

    private static ReplicationStatus replica(long term, long offset) {
        return new ReplicationStatus(false, term, new LogPosition(term, offset));
    }

    private static CommitHolder holder(String endpoint) {
        return new CommitHolder(endpoint, 1, "10.0.0.1", 1000 + endpoint.charAt(0), false);
    }
}
