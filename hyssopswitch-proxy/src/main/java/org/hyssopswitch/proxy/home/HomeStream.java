package org.hyssopswitch.proxy.home;

import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import org.hyssopswitch.proxy.forward.AnswerData;
import org.hyssopswitch.proxy.forward.AnswerEnd;
import org.hyssopswitch.proxy.forward.AnswerState;
import org.hyssopswitch.proxy.forward.Confirmation;
import org.hyssopswitch.proxy.forward.ContinueCycle;
import org.hyssopswitch.proxy.forward.CycleFacts;
import org.hyssopswitch.proxy.forward.ExecuteCycle;
import org.hyssopswitch.proxy.forward.TransactionState;

/** A stream of cycles of one caller, from its first cycle until no transaction is open. */
final class HomeStream {

    private static final int CREDIT_BYTES = 256 * 1024;

    private final StreamKey key;
    private final Replies replies;
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private ExecuteCycle cycle;
    private long deadlineMillis;
    private Phase phase = Phase.QUEUED;
    private Option<EndpointConnection> connection = Option.none();
    private long outstandingBytes;
    private long idleMillis;

    HomeStream(StreamKey key, Replies replies, ExecuteCycle first, long deadlineMillis) {
        this.key = key;
        this.replies = replies;
        this.cycle = first;
        this.deadlineMillis = deadlineMillis;
    }

    StreamKey key() {
        return key;
    }

    ExecuteCycle cycle() {
        return cycle;
    }

    CycleFacts facts() {
        return cycle.facts();
    }

    long deadlineMillis() {
        return deadlineMillis;
    }

    Phase phase() {
        return phase;
    }

    void enter(Phase next) {
        phase = next;
    }

    /** Notes when the transaction became idle. */
    void idleSince(long nowMillis) {
        idleMillis = nowMillis;
    }

    boolean idleBefore(long millis) {
        return phase == Phase.IDLE && idleMillis < millis;
    }

    Option<EndpointConnection> connection() {
        return connection;
    }

    void bind(EndpointConnection bound) {
        connection = Option.some(bound);
    }

    void unbind() {
        connection = Option.none();
    }

    void next(ExecuteCycle message, long deadline) {
        cycle = message;
        deadlineMillis = deadline;
        phase = Phase.QUEUED;
    }

    /** Adds a part to a cycle that has not started. */
    void append(ContinueCycle part) {
        byte[] frames = Arrays.copyOf(cycle.frames(), cycle.frames().length + part.frames().length);
        System.arraycopy(part.frames(), 0, frames, cycle.frames().length, part.frames().length);
        cycle = new ExecuteCycle(cycle.stream(), cycle.epoch(), cycle.sequence(), cycle.facts(), part.open(), frames);
    }

    void buffer(byte[] frame) {
        out.writeBytes(frame);
    }

    int bufferedBytes() {
        return out.size();
    }

    /** Sends what is buffered. */
    void flush() {
        if (out.size() == 0) {
            return;
        }
        outstandingBytes += out.size();
        replies.send(key.entry(), new AnswerData(key.stream(), cycle.epoch(), cycle.sequence(), out.toByteArray()));
        out.reset();
        if (!mayRead()) {
            connection.forEach(EndpointConnection::pause);
        }
    }

    void granted(int bytes) {
        boolean paused = !mayRead();
        outstandingBytes -= bytes;
        if (paused && mayRead()) {
            connection.forEach(EndpointConnection::resume);
        }
    }

    /** Answers the cycle with what is buffered. */
    void complete(TransactionState transaction, Confirmation confirmed) {
        end(AnswerState.COMPLETE, transaction, confirmed, 0, "");
    }

    /** Answers the cycle with a failure; what is buffered is dropped. */
    void fail(AnswerState state, long retryAfterMillis, String reason) {
        out.reset();
        end(state, TransactionState.IDLE, Confirmation.NONE, retryAfterMillis, reason);
    }

    private boolean mayRead() {
        return outstandingBytes < CREDIT_BYTES;
    }

    private void end(
            AnswerState state, TransactionState transaction, Confirmation confirmed, long retryAfter, String reason) {
        replies.send(
                key.entry(),
                new AnswerEnd(
                        key.stream(),
                        cycle.epoch(),
                        cycle.sequence(),
                        state,
                        transaction,
                        confirmed,
                        retryAfter,
                        reason,
                        out.toByteArray()));
        out.reset();
    }

    /** What a stream is doing. */
    enum Phase {
        /** Its cycle waits for a slot or a connection. */
        QUEUED,
        /** Its connection is being reset. */
        RESETTING,
        /** Its cycle is at the endpoint. */
        RUNNING,
        /** The answer waits for the confirmation of a majority. */
        CONFIRMING,
        /** A transaction is open and no cycle is running. */
        IDLE,
        /** Nothing of it may be answered any more. */
        CLOSED
    }
}
