package org.hyssopswitch.pool.vm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.hyssopswitch.core.connection.TransactionStatus;
import org.hyssopswitch.pool.session.CallerLink;
import org.hyssopswitch.pool.session.CallerSession;
import org.hyssopswitch.pool.statement.CallerStatement;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.Reply;
import org.hyssopswitch.pool.statement.StatementOutcome;
import org.hyssopswitch.pool.testing.FakeCaller;
import org.hyssopswitch.pool.testing.TestPool;
import org.junit.jupiter.api.Test;

/** Guards against requests that are cut off when a VM stops while callers use their open sessions without a pause. */
class SessionDrainTests {

    private static final long GRACE_MILLIS = 6_000;
    private static final int SESSIONS = 40;
    private static final long WORK_MILLIS = 30;

    /** Time between a reply and the caller's next statement, milliseconds. */
    private static final long CALLER_PAUSE_MILLIS = 2;

    private static final List<CallerStatement> TRANSACTION = List.of(
            new CallerStatement.Begin(true),
            new CallerStatement.Read("READ a"),
            new CallerStatement.Read("READ b"),
            new CallerStatement.Read("READ c"),
            new CallerStatement.Commit("COMMIT"));

    private static final List<CallerStatement> SINGLE_READ = List.of(new CallerStatement.Read("READ a"));

    private final TestPool pool = new TestPool(200, 1);
    private Option<Long> endedAfterMillis = Option.none();
    private int leases;

    @Test
    void cutsOffNoTransactionOfACallerThatPausesForLessThanACheck() {
        assertNoRequestIsCutOff(useSessions(TRANSACTION));
    }

    @Test
    void cutsOffNoSingleReadOfACallerThatPausesForLessThanACheck() {
        assertNoRequestIsCutOff(useSessions(SINGLE_READ));
    }

    @Test
    void givesOpenTransactionsHalfOfTheGracePeriod() {
        FakeCaller caller = pool.connectCaller(TestPool.BOUNDED);
        caller.send("b", new CallerStatement.Begin(true));
        stop(2_800);
        caller.read("r1");
        pool.advance(100);
        assertTrue(caller.lastReply().succeeded());
        pool.advance(200);
        caller.read("r2");
        pool.advance(100);
        assertEquals(ErrorCode.ABORTED, caller.lastError());
        caller.send("c", new CallerStatement.Commit("COMMIT"));
        assertEquals(TransactionStatus.IDLE, caller.lastReply().status());
        assertTrue(caller.isClosed());
    }

    @Test
    void startsNothingThatMayOutliveTheProcess() {
        leases = 1;
        stop(4_700);
        FakeCaller late = pool.connectCaller(TestPool.BOUNDED);
        assertTrue(endedAfterMillis.isEmpty());
        assertFalse(late.isSessionOpen());
        assertEquals(List.of(ErrorCode.OVERLOADED), late.refusals());
    }

    @Test
    void endsEarlyOnceNoSessionIsLeft() {
        useSessions(SINGLE_READ);
        stop(GRACE_MILLIS);
        assertTrue(endedAfterMillis.get() < 3_200, "ended after " + endedAfterMillis.get() + " ms");
        assertFalse(pool.connectCaller(TestPool.BOUNDED).isSessionOpen());
    }

    private void assertNoRequestIsCutOff(List<SteadyCaller> callers) {
        stop(GRACE_MILLIS);
        assertTrue(endedAfterMillis.isDefined());
        assertEquals(0, callers.stream().filter(caller -> caller.unanswered).count());
        assertEquals(SESSIONS, callers.stream().filter(caller -> caller.closed).count());
        assertTrue(callers.stream().allMatch(caller -> caller.status == TransactionStatus.IDLE));
    }

    private List<SteadyCaller> useSessions(List<CallerStatement> operation) {
        List.of("e1", "e2", "e3").forEach(id -> pool.endpoint(id).setWorkMillis(WORK_MILLIS));
        FakeCaller warm = pool.connectCaller(TestPool.BOUNDED);
        warm.read("warm");
        pool.advance(1_000);
        warm.disconnect();
        List<SteadyCaller> callers = IntStream.range(0, SESSIONS)
                .mapToObj(i -> new SteadyCaller(operation))
                .toList();
        callers.forEach(caller -> {
            pool.advance(1);
            caller.sendNext();
        });
        pool.advance(500);
        return callers;
    }

    /** Requests the stop and advances the time; callers stop with the process. */
    private void stop(long millis) {
        long start = pool.loop().nowMillis();
        new SessionDrain(
                        pool.loop(),
                        () -> pool.sessions().size() + leases,
                        pool.sessions(),
                        GRACE_MILLIS,
                        () -> endedAfterMillis = Option.some(pool.loop().nowMillis() - start))
                .start();
        for (long passed = 0; passed < millis && endedAfterMillis.isEmpty(); passed++) {
            pool.advance(1);
        }
    }

    /** A caller that repeats an operation and sends each statement right after the reply to the last one. */
    private final class SteadyCaller implements CallerLink {

        private final List<CallerStatement> operation;
        private final List<ErrorCode> failures = new ArrayList<>();
        private final CallerSession session;
        private TransactionStatus status = TransactionStatus.IDLE;
        private boolean unanswered;
        private boolean closed;
        private int next;
        private int sent;

        SteadyCaller(List<CallerStatement> operation) {
            this.operation = operation;
            session = pool.sessions().accept(this);
            session.start(TestPool.BOUNDED, TestPool.KEY);
        }

        private void sendNext() {
            if (closed || endedAfterMillis.isDefined()) {
                return;
            }
            unanswered = true;
            CallerStatement statement =
                    status == TransactionStatus.FAILED ? new CallerStatement.Rollback() : operation.get(next);
            session.statementReceived("s" + System.identityHashCode(this) + "-" + sent++, statement);
        }

        @Override
        public void acceptSession() {
            // Statements are sent by the test.
        }

        @Override
        public void reply(Reply reply) {
            unanswered = false;
            status = reply.status();
            if (reply.outcome() instanceof StatementOutcome.Failed failed) {
                failures.add(failed.code());
                next = 0;
            } else {
                next = status == TransactionStatus.IDLE ? 0 : (next + 1) % operation.size();
            }
            pool.loop().schedule(CALLER_PAUSE_MILLIS, this::sendNext);
        }

        @Override
        public void refuseSession(ErrorCode code, String text) {
            closed = true;
        }

        @Override
        public void close() {
            closed = true;
        }
    }
}
