package org.hyssopswitch.core.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ReplySequenceTests {

    private final ReplySequence<String> replies = new ReplySequence<>();

    /** Guards against a caller that gets the answer of the statement before its own. */
    @Test
    void dropsARepeatedAnswerToAnEarlierStatement() {
        send(ExpectedReply.STATEMENT, "first");
        assertDelivered("first", signed("s1", TransactionStatus.IDLE));
        send(ExpectedReply.STATEMENT, "second");
        assertRepeated(signed("s1", TransactionStatus.IDLE));
        assertDelivered("second", signed("s2", TransactionStatus.IDLE));
        assertTrue(replies.retiring());
    }

    /** Guards against a statement that is answered by the repeated answer to a rollback or session value. */
    @Test
    void dropsARepeatedAnswerWithoutSignatureWhileAStatementIsAwaited() {
        send(ExpectedReply.SETUP, "set");
        assertDelivered("set", unsigned(TransactionStatus.IDLE));
        send(ExpectedReply.TRANSACTION_START, "begin");
        assertRepeated(unsigned(TransactionStatus.IDLE));
        assertDelivered("begin", unsigned(TransactionStatus.OPEN));
        send(ExpectedReply.STATEMENT, "read");
        assertRepeated(unsigned(TransactionStatus.IDLE));
        assertRepeated(unsigned(TransactionStatus.OPEN));
        assertDelivered("read", signed("s1", TransactionStatus.OPEN));
    }

    /** Guards against a lost reply that shifts all later ones by one command. */
    @Test
    void isOutOfStepWhenTheReplyBeforeASignedOneWasLost() {
        send(ExpectedReply.SETUP, "set");
        send(ExpectedReply.STATEMENT, "read");
        assertOutOfStep(signed("s1", TransactionStatus.IDLE));
        assertEquals(List.of("set", "read"), replies.drain());
    }

    /** Guards against a write outside its transaction, whose start was refused after a repeated answer to another. */
    @Test
    void isOutOfStepWhenAnErrorShowsThatTheTransactionNeverStarted() {
        send(ExpectedReply.TRANSACTION_START, "begin");
        assertDelivered("begin", unsigned(TransactionStatus.OPEN));
        send(ExpectedReply.STATEMENT, "write");
        assertOutOfStep(error(TransactionStatus.IDLE));
    }

    /** Guards against a write outside its transaction that succeeds there. */
    @Test
    void isOutOfStepWhenAStatementEndsItsTransaction() {
        send(ExpectedReply.TRANSACTION_START, "begin");
        assertDelivered("begin", unsigned(TransactionStatus.OPEN));
        send(ExpectedReply.STATEMENT, "write");
        assertOutOfStep(signed("s1", TransactionStatus.IDLE));
    }

    /** Guards against a needless loss of the connection on errors that a protocol example shows. */
    @Test
    void deliversAnErrorThatLeavesTheSessionFailed() {
        send(ExpectedReply.STATEMENT, "write");
        assertDelivered("write", error(TransactionStatus.FAILED));
        assertTrue(replies.retiring());
    }

    /** Guards against a false "not run": a repeated error cannot be told from the next statement's. */
    @Test
    void retiresAfterAnError() {
        send(ExpectedReply.STATEMENT, "read");
        assertDelivered("read", error(TransactionStatus.IDLE));
        assertTrue(replies.retiring());
    }

    /** Guards against a promotion decided by a repeated status. */
    @Test
    void retiresAfterAStatusAndAcceptsNoStatusWithoutRows() {
        send(ExpectedReply.SETUP, "set");
        assertDelivered("set", unsigned(TransactionStatus.IDLE));
        send(ExpectedReply.CONTROL, "status");
        assertRepeated(unsigned(TransactionStatus.IDLE));
        assertDelivered("status", new ReceivedReply(true, Option.none(), true, TransactionStatus.IDLE));
        assertTrue(replies.retiring());
    }

    /** Guards against an unknown answer that nobody has asked for and that is taken for a harmless repeat. */
    @Test
    void isOutOfStepWhenAnUnknownReplyComesWhileNothingIsAwaited() {
        assertOutOfStep(signed("s1", TransactionStatus.IDLE));
        assertOutOfStep(unsigned(TransactionStatus.IDLE));
        assertOutOfStep(error(TransactionStatus.IDLE));
    }

    /** Guards against a long-lived connection that forgets signatures, whose repeats would then be delivered. */
    @Test
    void retiresBeforeItForgetsASignature() {
        for (int i = 0; i < 4_095; i++) {
            send(ExpectedReply.STATEMENT, "read" + i);
            assertDelivered("read" + i, signed("s" + i, TransactionStatus.IDLE));
        }
        assertFalse(replies.retiring());
        send(ExpectedReply.STATEMENT, "last");
        assertDelivered("last", signed("last", TransactionStatus.IDLE));
        assertTrue(replies.retiring());
        send(ExpectedReply.STATEMENT, "further");
        assertRepeated(signed("s0", TransactionStatus.IDLE));
    }

    /** Guards against any interleaving of repeated replies that gives a caller a foreign answer. */
    @Property(tries = 500, seed = "40")
    void deliversOnlyAStatementsOwnSignedReply(@ForAll long seed) {
        SimulatedConnection connection = new SimulatedConnection(new SplittableRandom(seed), 0.2);
        for (int operation = 0; operation < 40 && connection.usable(); operation++) {
            connection.runOperation();
        }
        assertEquals(List.of(), connection.foreign);
    }

    /** Guards against connections that are closed although each command was answered once and in order. */
    @Property(tries = 200, seed = "41")
    void dropsAndRetiresNothingWithoutRepeats(@ForAll long seed) {
        SimulatedConnection connection = new SimulatedConnection(new SplittableRandom(seed), 0);
        for (int operation = 0; operation < 40; operation++) {
            connection.runOperation();
        }
        assertTrue(connection.usable());
        assertEquals(0, connection.dropped);
        assertEquals(connection.commands, connection.delivered);
    }

    private void send(ExpectedReply expected, String handler) {
        replies.sent(expected, handler);
    }

    private void assertDelivered(String handler, ReceivedReply reply) {
        assertEquals(new ReplyVerdict.Deliver<>(handler), replies.received(reply));
    }

    private void assertRepeated(ReceivedReply reply) {
        assertEquals(new ReplyVerdict.Repeated<>(), replies.received(reply));
    }

    private void assertOutOfStep(ReceivedReply reply) {
        assertInstanceOf(ReplyVerdict.OutOfStep.class, replies.received(reply));
    }

    private static ReceivedReply signed(String signature, TransactionStatus status) {
        return new ReceivedReply(true, Option.some(signature), false, status);
    }

    private static ReceivedReply unsigned(TransactionStatus status) {
        return new ReceivedReply(true, Option.none(), false, status);
    }

    private static ReceivedReply error(TransactionStatus status) {
        return new ReceivedReply(false, Option.none(), false, status);
    }

    /** A connection whose endpoint answers truthfully and repeats any earlier reply at any later time. */
    private static final class SimulatedConnection {

        private final ReplySequence<String> sequence = new ReplySequence<>();
        private final SplittableRandom random;
        private final double repeatRatio;
        private final List<ReceivedReply> repeatable = new ArrayList<>();
        private final Deque<ReceivedReply> unsent = new ArrayDeque<>();
        private final List<String> foreign = new ArrayList<>();
        private TransactionStatus endpointStatus = TransactionStatus.IDLE;
        private boolean lost;
        private int commands;
        private int delivered;
        private int dropped;

        SimulatedConnection(SplittableRandom random, double repeatRatio) {
            this.random = random;
            this.repeatRatio = repeatRatio;
        }

        boolean usable() {
            return !lost && !sequence.retiring();
        }

        void runOperation() {
            for (int i = random.nextInt(3); i > 0; i--) {
                command(ExpectedReply.SETUP);
            }
            boolean inTransaction = random.nextBoolean();
            if (inTransaction) {
                command(ExpectedReply.TRANSACTION_START);
                await();
            }
            for (int i = 1 + random.nextInt(3); i > 0; i--) {
                command(ExpectedReply.STATEMENT);
                if (inTransaction || random.nextBoolean()) {
                    await();
                }
            }
            if (inTransaction) {
                command(random.nextBoolean() ? ExpectedReply.COMMIT : ExpectedReply.TRANSACTION_END);
            }
            await();
        }

        private void command(ExpectedReply expected) {
            if (lost) {
                return;
            }
            String name = "c" + commands;
            commands++;
            sequence.sent(expected, name);
            if (expected == ExpectedReply.TRANSACTION_START) {
                endpointStatus = TransactionStatus.OPEN;
            } else if (expected == ExpectedReply.COMMIT || expected == ExpectedReply.TRANSACTION_END) {
                endpointStatus = TransactionStatus.IDLE;
            }
            unsent.addLast(expected.signed() ? signed(name, endpointStatus) : unsigned(endpointStatus));
        }

        private void await() {
            while (!lost && !unsent.isEmpty()) {
                repeatSome();
                if (!lost) {
                    ReceivedReply next = unsent.removeFirst();
                    repeatable.add(next);
                    receive(next);
                }
            }
            repeatSome();
        }

        private void repeatSome() {
            while (!lost && !repeatable.isEmpty() && random.nextDouble() < repeatRatio) {
                receive(repeatable.remove(random.nextInt(repeatable.size())));
            }
        }

        private void receive(ReceivedReply reply) {
            ReplyVerdict<String> verdict = sequence.received(reply);
            if (verdict instanceof ReplyVerdict.Deliver<String> deliver) {
                delivered++;
                if (reply.signature().exists(signature -> !signature.equals(deliver.handler()))) {
                    foreign.add(deliver.handler() + " got " + reply.signature());
                }
            } else if (verdict instanceof ReplyVerdict.OutOfStep<String>) {
                lost = true;
            } else {
                dropped++;
            }
        }
    }
}
