package org.hyssopswitch.pool.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.statement.CallerStatement;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.testing.FakeCaller;
import org.hyssopswitch.pool.testing.TestPool;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Guards against a repeated answer to the start of a transaction that stands for the answer to a later start. */
class RepeatedStartTests {

    private static final int CONNECTIONS = 16;
    private static final int VMS = 6;

    /** Staleness that the bounded route accepts, milliseconds. */
    private static final long ACCEPTED_STALENESS_MILLIS = 1_500;

    /** Age of the sample with the repeated position at the time of the read, milliseconds: still used for reads. */
    private static final long SAMPLE_AGE_MILLIS = 1_200;

    private static final long MAX_SAMPLE_WAIT_MILLIS = 1_000;

    private final TestPool pool = new TestPool(CONNECTIONS, VMS);

    /** Guards against a position of the past that is recorded as the primary's position of now. */
    @Test
    void readsNoStateThatIsTooOldAfterARepeatedSample() {
        FakeCaller caller = startSampling();
        pool.endpoint("e1").setPosition(new LogPosition(1, 30));
        long committedMillis = pool.loop().nowMillis();
        awaitSample();
        pool.endpoint("e1").sendRepeats();
        pool.advance(SAMPLE_AGE_MILLIS);
        long commitAgeMillis = pool.loop().nowMillis() - committedMillis;
        assertTrue(commitAgeMillis > ACCEPTED_STALENESS_MILLIS, "age of the commit is " + commitAgeMillis);
        caller.read("r2");
        pool.advance(100);
        assertTrue(caller.lastReply().succeeded());
        List.of("e2", "e3").forEach(id -> assertNotRunBy(id, "r2"));
    }

    /** Guards against a read outside its transaction, on a replica that refused to start it because it lags. */
    @Tag("known-red")
    @Test
    void runsNoReadOfATransactionThatALaggingReplicaRefused() {
        FakeCaller caller = pool.connectCaller(TestPool.BOUNDED);
        caller.read("r1");
        pool.advance(60);
        pool.endpoint("e2").repeatRepliesTo(EndpointCommand.Begin.class::isInstance);
        runTransaction(caller, "r2");
        assertTrue(pool.endpoint("e2").executedStatements().contains("r2"));
        pool.endpoint("e1").setPosition(new LogPosition(1, 30));
        pool.advance(2 * ACCEPTED_STALENESS_MILLIS);
        caller.send("b3", new CallerStatement.Begin(true));
        caller.read("r3");
        pool.endpoint("e2").runAfterClose();
        pool.endpoint("e2").sendRepeats();
        pool.advance(100);
        assertNotRunBy("e2", "r3");
    }

    private void runTransaction(FakeCaller caller, String readId) {
        caller.send("b" + readId, new CallerStatement.Begin(true));
        caller.read(readId);
        caller.send("c" + readId, new CallerStatement.Commit("COMMIT"));
        pool.advance(100);
        assertTrue(caller.lastReply().succeeded());
    }

    private FakeCaller startSampling() {
        pool.endpoint("e1").repeatRepliesTo(EndpointCommand.Begin.class::isInstance);
        FakeCaller caller = pool.connectCaller(TestPool.BOUNDED);
        caller.read("r1");
        pool.advance(60);
        assertTrue(caller.lastReply().succeeded());
        assertEquals(0, pool.endpoint("e1").unansweredCommands());
        return caller;
    }

    /** Advances the time until the VM asks the primary for its position. */
    private void awaitSample() {
        for (int i = 0; i < MAX_SAMPLE_WAIT_MILLIS && pool.endpoint("e1").unansweredCommands() == 0; i++) {
            pool.advance(1);
        }
        assertEquals(1, pool.endpoint("e1").unansweredCommands());
    }

    private void assertNotRunBy(String id, String statementId) {
        assertFalse(pool.endpoint(id).executedStatements().contains(statementId), statementId + " was run by " + id);
    }
}
