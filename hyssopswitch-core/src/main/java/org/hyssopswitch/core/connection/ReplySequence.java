package org.hyssopswitch.core.connection;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Matches the replies of a connection to its commands.
 *
 * <p>Replies carry no identifier and follow the commands in order. An endpoint may repeat a reply at any later time, so
 * order alone gives a reply to a command that it does not answer. Signatures, rows and transaction statuses tell such
 * replies apart. Where they cannot, the connection is {@link #retiring() retired} before another operation uses it.
 *
 * @param <H> type of the handlers of commands
 */
public final class ReplySequence<H> {

    private final Deque<Pending<H>> pending = new ArrayDeque<>();
    private final SignatureMemory signatures = new SignatureMemory();
    private final Set<TransactionStatus> unsignedStatuses = EnumSet.noneOf(TransactionStatus.class);
    private TransactionStatus status = TransactionStatus.IDLE;
    private boolean retiring;

    /**
     * Records a command that is sent now.
     *
     * @param expected the expected reply
     * @param handler the handler of the reply
     */
    public void sent(ExpectedReply expected, H handler) {
        pending.addLast(new Pending<>(expected, handler));
    }

    /**
     * Decides which command a reply answers, if any.
     *
     * @param reply the reply
     */
    public ReplyVerdict<H> received(ReceivedReply reply) {
        ReplyVerdict<H> verdict = decide(reply);
        if (verdict instanceof ReplyVerdict.Deliver<H>) {
            deliver(reply);
        } else {
            retiring = true;
        }
        return verdict;
    }

    /** Retires the connection, because something was received that answers no command. */
    public void retire() {
        retiring = true;
    }

    /** Whether the connection must be closed at the end of the current operation instead of being used for another. */
    public boolean retiring() {
        return retiring;
    }

    /** Returns the transaction status after the last reply in step. */
    public TransactionStatus status() {
        return status;
    }

    /** Whether all commands are answered. */
    public boolean isComplete() {
        return pending.isEmpty();
    }

    /** Returns the handler of the oldest unanswered command. */
    public Option<H> first() {
        return Option.of(pending.peekFirst()).map(Pending::handler);
    }

    /** Returns the reply that the oldest unanswered command expects. */
    public Option<ExpectedReply> firstExpected() {
        return Option.of(pending.peekFirst()).map(Pending::expected);
    }

    /** Removes all unanswered commands and returns their handlers, oldest first. */
    public List<H> drain() {
        List<H> handlers = new ArrayList<>(pending.size());
        pending.forEach(one -> handlers.add(one.handler()));
        pending.clear();
        return handlers;
    }

    private ReplyVerdict<H> decide(ReceivedReply reply) {
        if (reply.signature().exists(signatures::contains)) {
            return new ReplyVerdict.Repeated<>();
        }
        if (pending.isEmpty()) {
            return isPossibleRepeat(reply) ? new ReplyVerdict.Repeated<>() : outOfStep("reply_to_no_command");
        }
        ExpectedReply expected = pending.getFirst().expected();
        return reply.succeeded() ? decideSuccess(expected, reply) : decideError(expected, reply);
    }

    private ReplyVerdict<H> decideSuccess(ExpectedReply expected, ReceivedReply reply) {
        if (reply.signature().isDefined() != expected.signed()) {
            return otherThanExpected(reply, "signature");
        }
        if (!expected.acceptsRows(reply.rows())) {
            return otherThanExpected(reply, "rows");
        }
        if (reply.status() != expected.statusAfter(status)) {
            return otherThanExpected(reply, "transaction_status");
        }
        return new ReplyVerdict.Deliver<>(pending.getFirst().handler());
    }

    /**
     * Decides about an error. A repeated error cannot be told from one of the awaited command, so no operation follows
     * one on a connection. Inside a transaction an error that ends it without a commit shows that the transaction had
     * never started: its supposed start was a repeated reply, and the error answers the true one.
     */
    private ReplyVerdict<H> decideError(ExpectedReply expected, ReceivedReply reply) {
        boolean neverStarted = status == TransactionStatus.OPEN
                && reply.status() == TransactionStatus.IDLE
                && expected != ExpectedReply.COMMIT
                && expected != ExpectedReply.TRANSACTION_END;
        boolean startedUnasked = status == TransactionStatus.IDLE && reply.status() == TransactionStatus.OPEN;
        return neverStarted || startedUnasked
                ? outOfStep("transaction_status_of_error")
                : new ReplyVerdict.Deliver<>(pending.getFirst().handler());
    }

    /** Decides about a success that the awaited command cannot have: either a repeat, or a reply was lost. */
    private ReplyVerdict<H> otherThanExpected(ReceivedReply reply, String cause) {
        return isPossibleRepeat(reply) ? new ReplyVerdict.Repeated<>() : outOfStep(cause);
    }

    /** Whether a reply without a signature may repeat an earlier one. */
    private boolean isPossibleRepeat(ReceivedReply reply) {
        return reply.succeeded()
                && reply.signature().isEmpty()
                && !reply.rows()
                && unsignedStatuses.contains(reply.status());
    }

    private ReplyVerdict<H> outOfStep(String cause) {
        return new ReplyVerdict.OutOfStep<>(cause);
    }

    private void deliver(ReceivedReply reply) {
        ExpectedReply answered = pending.removeFirst().expected();
        status = reply.status();
        reply.signature().forEach(signatures::add);
        if (reply.succeeded() && reply.signature().isEmpty()) {
            unsignedStatuses.add(reply.status());
        }
        // A repeated status could pass for a fresh one, and promotions are decided by it.
        retiring |= !reply.succeeded() || answered == ExpectedReply.CONTROL || signatures.isFull();
    }

    private record Pending<H>(ExpectedReply expected, H handler) {

        Pending {
            Objects.requireNonNull(expected, "a command must have an expected reply");
            Objects.requireNonNull(handler, "a command must have a handler");
        }
    }
}
