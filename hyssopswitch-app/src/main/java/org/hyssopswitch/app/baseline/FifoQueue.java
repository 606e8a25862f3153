package org.hyssopswitch.app.baseline;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.fairness.StatementQueue;
import org.hyssopswitch.core.identity.ClientAccountId;

/**
 * Serves statements in order of arrival, whoever sent them.
 *
 * @param <T> what is queued
 */
public final class FifoQueue<T> implements StatementQueue<T> {

    private static final long FULL_RETRY_MILLIS = 100;

    private final int capacity;
    private final Deque<Waiting<T>> queue = new ArrayDeque<>();

    /**
     * Creates a queue.
     *
     * @param capacity statements that it holds, 1 or more
     */
    public FifoQueue(int capacity) {
        if (capacity < 1) {
            throw new IllegalArgumentException("the capacity must be at least 1, but is " + capacity);
        }
        this.capacity = capacity;
    }

    @Override
    public Option<Refusal> offer(ClientAccountId account, T item, long deadlineMillis, long nowMillis) {
        if (queue.size() >= capacity) {
            return Option.some(new Refusal.Overloaded(account, FULL_RETRY_MILLIS));
        }
        queue.add(new Waiting<>(item, deadlineMillis));
        return Option.none();
    }

    @Override
    public Optional<T> poll(long nowMillis) {
        return queue.stream()
                .filter(w -> w.deadlineMillis() > nowMillis)
                .findFirst()
                .map(this::remove);
    }

    @Override
    public List<T> removeDropped(long nowMillis) {
        List<T> expired = new ArrayList<>();
        queue.removeIf(w -> w.deadlineMillis() <= nowMillis && expired.add(w.item()));
        return expired;
    }

    @Override
    public int size() {
        return queue.size();
    }

    private T remove(Waiting<T> waiting) {
        queue.remove(waiting);
        return waiting.item();
    }

    private record Waiting<T>(T item, long deadlineMillis) {}
}
