package org.hyssopswitch.pool.endpoint;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.statement.CallerStatement;
import org.hyssopswitch.pool.statement.EndpointCommand;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.PreparedShape;
import org.hyssopswitch.pool.statement.Reply;
import org.hyssopswitch.pool.statement.StatementOutcome;
import org.hyssopswitch.pool.testing.FakeCaller;
import org.hyssopswitch.pool.testing.TestPool;
import org.junit.jupiter.api.Test;

/** Guards against replies that an endpoint gives twice and that reach a command they do not answer. */
class RepeatedReplyTests {

    private static final int CONNECTIONS = 16;
    private static final int VMS = 6;
    private static final long WORK_MILLIS = 20;

    /** Time after which a statement is being executed: its connection is assigned and its command is sent. */
    private static final long UNDER_WAY_MILLIS = 5;

    /** Attempts after which a refused write is given up, all on one connection while another one is opened. */
    private static final int LAST_ATTEMPT = 4;

    private static final List<String> ROUTES = List.of(TestPool.LATEST, TestPool.BOUNDED, TestPool.READ_YOUR_WRITES);

    private final TestPool pool = new TestPool(CONNECTIONS, VMS);

    /** Guards against repeated replies that leave no trace, so that a foreign answer has no visible cause. */
    @Test
    void countsARepeatedReply() {
        FakeCaller caller = pool.connectCaller(TestPool.READ_YOUR_WRITES);
        pool.endpoint("e1").repeatRepliesTo(EndpointCommand.Forward.class::isInstance);
        caller.write("w1");
        pool.advance(100);
        assertEquals(0, pool.counter("endpoint_replies.repeated"));
        pool.endpoint("e1").sendRepeats();
        pool.advance(10);
        assertEquals(1, pool.counter("endpoint_replies.repeated"));
    }

    /** Guards against a caller that gets the answer to the statement of the caller before it on the connection. */
    @Test
    void answersACallerWithItsOwnReplyAfterARepeatedOne() {
        FakeCaller first = pool.connectCaller(TestPool.READ_YOUR_WRITES);
        FakeCaller second = pool.connectCaller(TestPool.READ_YOUR_WRITES);
        pool.endpoint("e1").setWorkMillis(WORK_MILLIS);
        pool.endpoint("e1").repeatRepliesTo(EndpointCommand.Forward.class::isInstance);
        first.write("w1");
        pool.advance(100);
        second.write("w2");
        pool.advance(UNDER_WAY_MILLIS);
        pool.endpoint("e1").sendRepeats();
        pool.advance(100);
        assertAnswered("w1", first.lastReply());
        assertAnswered("w2", second.lastReply());
        assertEquals(1, pool.endpoint("e1").openedConnections());
        assertEquals(0, pool.endpoint("e1").openConnections());
    }

    /** Guards against a false "not run": the repeated error of one statement is given to a later one, which runs. */
    @Test
    void doesNotReportAStatementAsNotRunBecauseOfARepeatedError() {
        FakeCaller refused = pool.connectCaller(TestPool.READ_YOUR_WRITES);
        pool.endpoint("e1").setOverloaded(true);
        AtomicInteger attempts = new AtomicInteger();
        pool.endpoint("e1")
                .repeatRepliesTo(command ->
                        command instanceof EndpointCommand.Forward && attempts.incrementAndGet() == LAST_ATTEMPT);
        refused.write("w1");
        pool.advance(200);
        assertEquals(ErrorCode.OVERLOADED, refused.lastError());
        pool.endpoint("e1").setOverloaded(false);
        pool.endpoint("e1").setWorkMillis(WORK_MILLIS);
        FakeCaller caller = pool.connectCaller(TestPool.READ_YOUR_WRITES);
        FakeCaller other = pool.connectCaller(TestPool.READ_YOUR_WRITES);
        caller.write("w2");
        other.write("w3");
        pool.advance(UNDER_WAY_MILLIS);
        pool.endpoint("e1").sendRepeats();
        pool.advance(200);
        assertAnswered("w2", caller.lastReply());
        assertAnswered("w3", other.lastReply());
        assertEquals(List.of("w2", "w3"), pool.endpoint("e1").executedStatements());
    }

    /** Guards against a write outside its transaction that is reported as rolled back or not run. */
    @Test
    void leavesAWriteInDoubtWhoseTransactionWasRefusedAfterARepeatedStart() {
        FakeCaller first = pool.connectCaller(TestPool.READ_YOUR_WRITES);
        pool.endpoint("e1").repeatRepliesTo(EndpointCommand.Begin.class::isInstance);
        first.send("b1", new CallerStatement.Begin(false));
        first.write("w1");
        first.send("c1", new CallerStatement.Commit("COMMIT"));
        pool.advance(100);
        assertAnswered("c1", first.lastReply());
        pool.endpoint("e1").setRefusesTransactions(true);
        FakeCaller second = pool.connectCaller(TestPool.READ_YOUR_WRITES);
        second.send("b2", new CallerStatement.Begin(false));
        second.write("w2");
        pool.endpoint("e1").sendRepeats();
        pool.advance(300);
        assertEquals(ErrorCode.IN_DOUBT, second.lastError());
        assertEquals(1, pool.counter("endpoint_replies.out_of_step"));
    }

    /** Guards against a connection that a repeated answer to its opening takes out of step later. */
    @Test
    void retiresAConnectionWhoseOpeningIsAnsweredTwice() {
        pool.endpoint("e1").repeatOpenings();
        FakeCaller caller = pool.connectCaller(TestPool.READ_YOUR_WRITES);
        caller.write("w1");
        pool.advance(100);
        assertEquals(1, pool.endpoint("e1").openConnections());
        pool.endpoint("e1").sendRepeats();
        pool.advance(10);
        assertEquals(0, pool.endpoint("e1").openConnections());
        assertEquals(1, pool.counter("endpoint_replies.repeated"));
    }

    /** Guards against connections that are closed without need, each of which costs the next caller its opening. */
    @Test
    void keepsAConnectionOnWhichNothingWasRepeated() {
        FakeCaller caller = pool.connectCaller(TestPool.LATEST);
        for (int i = 0; i < 20; i++) {
            caller.send("b" + i, new CallerStatement.Begin(false));
            caller.write("w" + i);
            caller.send("c" + i, new CallerStatement.Commit("COMMIT"));
            pool.advance(50);
            caller.prepareAndExecute("x" + i);
            pool.advance(50);
            assertTrue(caller.lastReply().succeeded());
        }
        assertEquals(1, pool.endpoint("e1").openedConnections());
        assertEquals(0, pool.counter("endpoint_replies.out_of_step"));
    }

    /** Guards against stale reads: an old log position of the primary that is taken for the one asked for. */
    @Test
    void doesNotTakeThePositionOfARepeatedTransactionStart() {
        FakeCaller caller = pool.connectCaller(TestPool.LATEST);
        pool.endpoint("e1").repeatRepliesTo(EndpointCommand.Begin.class::isInstance);
        caller.read("r1");
        pool.advance(1_000);
        assertEquals(1, pool.endpoint("e1").openConnections());
        pool.endpoint("e1").setPosition(new LogPosition(1, 500));
        List<LogPosition> answers = new ArrayList<>();
        pool.group().queryPosition("e1", new RecordingPositionListener(answers));
        pool.endpoint("e1").sendRepeats();
        pool.advance(500);
        assertEquals(List.of(new LogPosition(1, 500)), answers);
    }

    /** Guards against any phase of a connection in which a repeated reply gives a caller a foreign or false answer. */
    @Property(tries = 300, seed = "40")
    void givesEachCallerItsOwnAnswersWhileEndpointsRepeatAnyReply(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        TestPool stuttering = new TestPool(CONNECTIONS, VMS);
        List.of("e1", "e2", "e3").forEach(id -> stuttering.endpoint(id).stutter(random.split(), 0.1, 100));
        stuttering.endpoint("e1").setWorkMillis(random.nextInt(15));
        stuttering.endpoint("e1").setStartMillis(random.nextInt(30));
        List<Session> sessions = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            String key = i % 2 == 0 ? TestPool.KEY : "other-key";
            String route = ROUTES.get(random.nextInt(ROUTES.size()));
            sessions.add(new Session(new FakeCaller(stuttering.sessions(), route, key), "s" + i + "-"));
        }
        for (int step = 0; step < 150; step++) {
            sessions.get(random.nextInt(sessions.size())).sendNext(random);
            stuttering.endpoint("e1").setOverloaded(random.nextInt(20) == 0);
            stuttering.endpoint("e1").setRefusesTransactions(random.nextInt(3) == 0);
            stuttering.advance(random.nextInt(12));
        }
        stuttering.advance(3_000);
        List<String> executed = new ArrayList<>();
        List.of("e1", "e2", "e3")
                .forEach(id -> executed.addAll(stuttering.endpoint(id).executedStatements()));
        sessions.forEach(session -> session.check(executed));
        sessions.forEach(session -> session.checkTransactions(stuttering.endpoint("e1")::executedAlone));
        assertTrue(stuttering.counter("endpoint_replies.repeated") > 0, "the endpoints must have repeated replies");
    }

    private static void assertAnswered(String statementId, Reply reply) {
        assertTrue(reply.succeeded(), reply.toString());
        assertEquals(statementId, signedStatement(reply));
    }

    /** Returns the identifier of the statement that the endpoint signed; "-" if the VM answered. */
    private static String signedStatement(Reply reply) {
        String signature = ((StatementOutcome.Success) reply.outcome()).signature();
        return signature.startsWith("signed.") ? signature.split("\\.", -1)[2] : signature;
    }

    private record RecordingPositionListener(List<LogPosition> answers) implements PositionListener {

        @Override
        public void primaryConfirmed(LogPosition position) {
            answers.add(position);
        }

        @Override
        public void notPrimary() {
            throw new AssertionError("the endpoint is the primary");
        }

        @Override
        public void unreachable() {
            throw new AssertionError("the endpoint is reachable");
        }
    }

    /** A caller with the identifiers of the statements that it has sent, which are answered in order. */
    private static final class Session {

        private final FakeCaller caller;
        private final String prefix;
        private final List<String> ids = new ArrayList<>();
        private final Map<String, Boolean> autocommitWrites = new HashMap<>();
        private final Set<String> writes = new HashSet<>();
        private final Map<String, Integer> transactionOf = new HashMap<>();
        private boolean inTransaction;
        private int transactions;
        private int value;

        Session(FakeCaller caller, String prefix) {
            this.caller = caller;
            this.prefix = prefix;
        }

        void sendNext(SplittableRandom random) {
            if (ids.size() > caller.replies().size()) {
                return;
            }
            String id = prefix + ids.size();
            switch (random.nextInt(7)) {
                case 0 -> setValue(id);
                case 1 -> beginOrCommit(id);
                case 2 -> rollBackOrRead(id);
                case 3, 4 -> send(id, new CallerStatement.Read("READ a"));
                case 5 -> execute(id);
                default -> {
                    autocommitWrites.put(id, !inTransaction);
                    writes.add(id);
                    send(id, new CallerStatement.Write("WRITE a x"));
                }
            }
        }

        void check(List<String> executed) {
            List<Reply> replies = caller.replies();
            assertEquals(ids.size(), replies.size(), "each statement must be answered once");
            for (int i = 0; i < replies.size(); i++) {
                checkReply(ids.get(i), replies.get(i), executed);
            }
        }

        /** Checks that no transaction ends with a promise or a commit of which a write was kept on its own. */
        void checkTransactions(Predicate<String> executedAlone) {
            List<Reply> replies = caller.replies();
            transactionOf.forEach((id, transaction) -> {
                if (writes.contains(id) && executedAlone.test(id)) {
                    transactionOf.forEach((other, same) -> {
                        Reply reply = replies.get(ids.indexOf(other));
                        boolean promise = reply.error().exists(ErrorCode::guaranteesNoEffect);
                        boolean signed =
                                reply.succeeded() && !signedStatement(reply).equals("-");
                        assertFalse(
                                same.equals(transaction) && (promise || signed),
                                id + " was kept on its own, but " + other + " was answered with " + reply);
                    });
                }
            });
        }

        private void checkReply(String id, Reply reply, List<String> executed) {
            if (reply.succeeded()) {
                assertTrue(List.of("-", id).contains(signedStatement(reply)), id + " was answered with " + reply);
            } else if (autocommitWrites.getOrDefault(id, false)
                    && reply.error().exists(ErrorCode::guaranteesNoEffect)) {
                assertFalse(executed.contains(id), id + " ran, but was answered with " + reply);
            }
            if (autocommitWrites.containsKey(id)) {
                assertTrue(Collections.frequency(executed, id) <= 1, id + " ran more than once");
            }
        }

        private void setValue(String id) {
            send(id, new CallerStatement.SetValue("name", prefix + value++));
        }

        private void beginOrCommit(String id) {
            send(id, inTransaction ? new CallerStatement.Commit("COMMIT") : new CallerStatement.Begin(false));
            transactions++;
            inTransaction = !inTransaction;
        }

        private void rollBackOrRead(String id) {
            send(id, inTransaction ? new CallerStatement.Rollback() : new CallerStatement.Read("READ a"));
            inTransaction = false;
        }

        private void execute(String id) {
            send(id, new CallerStatement.Prepare("s" + value, new PreparedShape(false, "q" + value)));
            send(id + "x", new CallerStatement.Execute("s" + value, "a"));
        }

        private void send(String id, CallerStatement statement) {
            ids.add(id);
            if (inTransaction) {
                transactionOf.put(id, transactions);
            }
            caller.send(id, statement);
        }
    }
}
