package org.hyssopswitch.proxy.home;

import io.vavr.control.Option;
import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import org.hyssopswitch.proxy.forward.AnswerData;
import org.hyssopswitch.proxy.forward.AnswerEnd;
import org.hyssopswitch.proxy.forward.AnswerState;
import org.hyssopswitch.proxy.forward.Confirmation;
import org.hyssopswitch.proxy.forward.ContinueCycle;
import org.hyssopswitch.proxy.forward.CycleRouting;
import org.hyssopswitch.proxy.forward.ExecuteCycle;
import org.hyssopswitch.proxy.forward.TransactionState;

/** A sequence of cycles of one caller at a home, from its first cycle until no transaction is open. */
final class HomeStream {

    private static final int CREDIT_WINDOW_BYTES = 256 * 1024;

    private final StreamKey key;
    private final ReplySender replySender;
    private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();
    private ExecuteCycle cycle;
    private long deadlineMillis;
    private Phase phase = Phase.QUEUED;
    private Option<EndpointConnection> connection = Option.none();
    private long outstandingBytes;
    private long idleSinceMillis;

    HomeStream(StreamKey key, ReplySender replySender, ExecuteCycle first, long deadlineMillis) {
        this.key = key;
        this.replySender = replySender;
        this.cycle = first;
        this.deadlineMillis = deadlineMillis;
    }

    StreamKey key() {
        return key;
    }

    ExecuteCycle cycle() {
        return cycle;
    }

    CycleRouting routing() {
        return cycle.routing();
    }

    long deadlineMillis() {
        return deadlineMillis;
    }

    Phase phase() {
        return phase;
    }

    void setPhase(Phase next) {
        phase = next;
    }

    /** Records when the open transaction became idle. */
    void setIdleSince(long nowMillis) {
        idleSinceMillis = nowMillis;
    }

    boolean isIdleSinceBefore(long millis) {
        return phase == Phase.IDLE && idleSinceMillis < millis;
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

    void queueNextCycle(ExecuteCycle nextCycle, long deadline) {
        cycle = nextCycle;
        deadlineMillis = deadline;
        phase = Phase.QUEUED;
    }

    /** Appends a part to a cycle that has not been sent to the endpoint. */
    void append(ContinueCycle part) {
        byte[] frames = Arrays.copyOf(cycle.frames(), cycle.frames().length + part.frames().length);
        System.arraycopy(part.frames(), 0, frames, cycle.frames().length, part.frames().length);
        cycle = new ExecuteCycle(cycle.stream(), cycle.epoch(), cycle.sequence(), cycle.routing(), part.open(), frames);
    }

    void buffer(byte[] frame) {
        buffered.writeBytes(frame);
    }

    int bufferedBytes() {
        return buffered.size();
    }

    /**
     * Sends the buffered part of the answer. Stops reading from the endpoint when the bytes for which no credit has
     * come back reach the credit window.
     */
    void flush() {
        if (buffered.size() == 0) {
            return;
        }
        outstandingBytes += buffered.size();
        replySender.send(
                key.entry(), new AnswerData(key.stream(), cycle.epoch(), cycle.sequence(), buffered.toByteArray()));
        buffered.reset();
        if (!hasCredit()) {
            connection.forEach(EndpointConnection::pause);
        }
    }

    void grantCredit(int bytes) {
        boolean paused = !hasCredit();
        outstandingBytes -= bytes;
        if (paused && hasCredit()) {
            connection.forEach(EndpointConnection::resume);
        }
    }

    /** Ends the cycle with the rest of the answer. */
    void complete(TransactionState transaction, Confirmation confirmed) {
        end(AnswerState.COMPLETE, transaction, confirmed, 0, "");
    }

    /** Ends the cycle with a failure and discards the buffered part of the answer. */
    void fail(AnswerState state, long retryAfterMillis, String reason) {
        buffered.reset();
        end(state, TransactionState.IDLE, Confirmation.NONE, retryAfterMillis, reason);
    }

    private boolean hasCredit() {
        return outstandingBytes < CREDIT_WINDOW_BYTES;
    }

    private void end(
            AnswerState state,
            TransactionState transaction,
            Confirmation confirmed,
            long retryAfterMillis,
            String reason) {
        replySender.send(
                key.entry(),
                new AnswerEnd(
                        key.stream(),
                        cycle.epoch(),
                        cycle.sequence(),
                        state,
                        transaction,
                        confirmed,
                        retryAfterMillis,
                        reason,
                        buffered.toByteArray()));
        buffered.reset();
    }

    /** The state of a stream. */
    enum Phase {
        /** The cycle waits for a slot or a connection. */
        QUEUED,
        /** The connection is being reset. */
        RESETTING,
        /** The cycle is running at the endpoint. */
        RUNNING,
        /** The answer is held until a majority of the group confirms its position. */
        CONFIRMING,
        /** A transaction is open and no cycle is running. */
        IDLE,
        /** The stream has ended; no further answer may be sent. */
        CLOSED
    }
}
