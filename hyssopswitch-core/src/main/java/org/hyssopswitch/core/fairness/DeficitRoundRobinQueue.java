package org.hyssopswitch.core.fairness;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.identity.ClientAccountId;

/**
 * Serves client accounts by deficit round robin, weighted by their declared rates. Confined to one thread.
 *
 * <p>Every round gives each waiting account a quantum of at most one statement, in proportion to its weight, so that an
 * account with few statements waits for at most one statement of each other account per quantum. When the queue is
 * full, a statement of the account with the most waiting statements per weight is shed: the offered one if it is of
 * that account, otherwise the newest one of that account.
 *
 * @param <T> what is queued
 */
public final class DeficitRoundRobinQueue<T> implements StatementQueue<T> {

    private static final double MIN_QUANTUM = 1.0 / 64;
    private static final double POLL_INTERVAL_SMOOTHING = 0.1;
    private static final long MIN_RETRY_AFTER_MILLIS = 10;
    private static final long MAX_RETRY_AFTER_MILLIS = 5_000;

    private final ToDoubleFunction<ClientAccountId> weights;
    private final QueueLimits limits;
    private final Map<ClientAccountId, AccountQueue<T>> queues = new HashMap<>();
    private final Deque<AccountQueue<T>> activeQueues = new ArrayDeque<>();
    private final List<T> dropped = new ArrayList<>();
    private int size;
    private double maxWeight;
    private long earliestDeadlineMillis = Long.MAX_VALUE;
    private long lastPollMillis = -1;
    private double meanPollIntervalMillis = 1;

    /**
     * Creates an empty queue.
     *
     * @param weights the declared rate of a client account, in statements per second
     * @param limits the bounds of the queue
     */
    public DeficitRoundRobinQueue(ToDoubleFunction<ClientAccountId> weights, QueueLimits limits) {
        this.weights = weights;
        this.limits = limits;
    }

    @Override
    public Option<Refusal> offer(ClientAccountId account, T item, long deadlineMillis, long nowMillis) {
        dropExpired(nowMillis);
        AccountQueue<T> queue = queues.get(account);
        if (queue == null) {
            queue = new AccountQueue<>(account, Math.max(weights.applyAsDouble(account), Double.MIN_NORMAL));
        }
        if (deadlineMillis <= nowMillis || queue.size() >= limits.perAccount() || !makeRoom(queue)) {
            return Option.some(new Refusal.Overloaded(account, retryAfterMillis(queue)));
        }
        queue.add(item, deadlineMillis);
        size++;
        earliestDeadlineMillis = Math.min(earliestDeadlineMillis, deadlineMillis);
        activate(queue);
        return Option.none();
    }

    @Override
    public Optional<T> poll(long nowMillis) {
        dropExpired(nowMillis);
        if (size == 0) {
            lastPollMillis = -1;
            return Optional.empty();
        }
        recordPollInterval(nowMillis);
        AccountQueue<T> queue = nextQueue();
        T item = queue.dequeue();
        size--;
        if (queue.size() == 0) {
            deactivate(queue);
        } else if (!queue.canDequeue()) {
            activeQueues.addLast(activeQueues.removeFirst());
        }
        return Optional.of(item);
    }

    @Override
    public List<T> removeDropped(long nowMillis) {
        dropExpired(nowMillis);
        List<T> result = List.copyOf(dropped);
        dropped.clear();
        return result;
    }

    @Override
    public int size() {
        return size;
    }

    /**
     * Makes room for a statement, if necessary by shedding one of the account with the longest backlog per weight.
     * Returns false if that is the offering account.
     */
    private boolean makeRoom(AccountQueue<T> offering) {
        if (size < limits.total()) {
            return true;
        }
        AccountQueue<T> longest = queues.values().stream()
                .max(Comparator.comparingDouble((AccountQueue<T> q) -> q.backlogPerWeight())
                        .thenComparing(AccountQueue::account))
                .orElse(offering);
        if (longest == offering || longest.backlogPerWeight() <= (offering.size() + 1) / offering.weight()) {
            return false;
        }
        dropped.add(longest.removeNewest());
        size--;
        if (longest.size() == 0) {
            deactivate(longest);
        }
        return true;
    }

    /** Returns the next account whose deficit covers a statement; adds a quantum to each account that it visits. */
    private AccountQueue<T> nextQueue() {
        AccountQueue<T> head = activeQueues.peekFirst();
        while (!head.canDequeue()) {
            if (head.addQuantum(Math.max(MIN_QUANTUM, head.weight() / maxWeight))) {
                return head;
            }
            activeQueues.addLast(activeQueues.removeFirst());
            head = activeQueues.peekFirst();
        }
        return head;
    }

    private void activate(AccountQueue<T> queue) {
        if (queues.putIfAbsent(queue.account(), queue) == null) {
            activeQueues.addLast(queue);
            maxWeight = Math.max(maxWeight, queue.weight());
        }
    }

    /** Removes an account that has no waiting statements, and discards its deficit. */
    private void deactivate(AccountQueue<T> queue) {
        queues.remove(queue.account());
        activeQueues.remove(queue);
        if (queue.weight() >= maxWeight) {
            maxWeight = queues.values().stream()
                    .mapToDouble(AccountQueue::weight)
                    .max()
                    .orElse(0);
        }
    }

    private void dropExpired(long nowMillis) {
        if (nowMillis < earliestDeadlineMillis) {
            return;
        }
        int before = dropped.size();
        earliestDeadlineMillis = Long.MAX_VALUE;
        for (AccountQueue<T> queue : List.copyOf(queues.values())) {
            earliestDeadlineMillis = Math.min(earliestDeadlineMillis, queue.removeExpired(nowMillis, dropped));
            if (queue.size() == 0) {
                deactivate(queue);
            }
        }
        size -= dropped.size() - before;
    }

    private void recordPollInterval(long nowMillis) {
        if (lastPollMillis >= 0) {
            meanPollIntervalMillis += POLL_INTERVAL_SMOOTHING * (nowMillis - lastPollMillis - meanPollIntervalMillis);
        }
        lastPollMillis = nowMillis;
    }

    /** Returns the expected time until the account's waiting statements are served, from the mean interval of polls. */
    private long retryAfterMillis(AccountQueue<T> queue) {
        double total =
                queues.values().stream().mapToDouble(AccountQueue::weight).sum();
        double share = total > 0 ? Math.min(1, queue.weight() / total) : 1;
        double wait = (queue.size() + 1) * meanPollIntervalMillis / share;
        return Math.round(Math.min((double) MAX_RETRY_AFTER_MILLIS, Math.max((double) MIN_RETRY_AFTER_MILLIS, wait)));
    }
}
