package org.hyssopswitch.standin.group;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.hyssopswitch.wire.Frame;

/** Collects frames and sends them in order, delayed or held back by the faults in force. */
final class SessionOutput {

    private static final long NANOS_PER_MILLI = 1_000_000;

    private final GroupThread thread;
    private final ByteSink sink;
    private final BooleanSupplier blocked;
    private final LongSupplier slowMillis;
    private final Deque<Chunk> chunks = new ArrayDeque<>();
    private ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private long lastDueNanos;
    private boolean closed;

    SessionOutput(GroupThread thread, ByteSink sink, BooleanSupplier blocked, LongSupplier slowMillis) {
        this.thread = thread;
        this.sink = sink;
        this.blocked = blocked;
        this.slowMillis = slowMillis;
        this.lastDueNanos = thread.nowNanos();
    }

    void add(Frame frame) {
        pending.writeBytes(frame.encode());
    }

    void addRaw(int value) {
        pending.write(value);
    }

    void flush() {
        enqueue(false);
    }

    /**
     * Sends what is collected, and sends it once more later.
     *
     * @param lateMillis milliseconds between the two
     */
    void flushTwice(long lateMillis) {
        byte[] answer = pending.toByteArray();
        enqueue(false);
        thread.schedule(() -> repeat(answer), lateMillis * NANOS_PER_MILLI);
    }

    /** Sends what is collected and closes the connection. */
    void close() {
        closed = true;
        enqueue(true);
    }

    /** Sends the chunks that are due. */
    void drain() {
        while (!chunks.isEmpty() && !blocked.getAsBoolean() && chunks.peek().dueNanos() - thread.nowNanos() <= 0) {
            Chunk chunk = chunks.remove();
            if (chunk.bytes().length > 0) {
                sink.write(chunk.bytes());
            }
            if (chunk.last()) {
                sink.close();
            }
        }
    }

    private void repeat(byte[] answer) {
        if (!closed) {
            chunks.add(new Chunk(answer, thread.nowNanos(), false));
            drain();
        }
    }

    private void enqueue(boolean last) {
        long delayNanos = slowMillis.getAsLong() * NANOS_PER_MILLI;
        long now = thread.nowNanos();
        lastDueNanos = Math.max(lastDueNanos, now + delayNanos);
        chunks.add(new Chunk(pending.toByteArray(), lastDueNanos, last));
        pending = new ByteArrayOutputStream();
        if (lastDueNanos > now) {
            thread.schedule(this::drain, lastDueNanos - now);
        } else {
            drain();
        }
    }

    private record Chunk(byte[] bytes, long dueNanos, boolean last) {}
}
