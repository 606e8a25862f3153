package org.hyssopswitch.core.fairness;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import org.hyssopswitch.core.identity.ClientAccountId;

/** The waiting statements of one client account, with its weight and its deficit counter. */
final class AccountQueue<T> {

    private final ClientAccountId account;
    private final double weight;
    private final Deque<Entry<T>> entries = new ArrayDeque<>();
    private double deficit;

    AccountQueue(ClientAccountId account, double weight) {
        this.account = account;
        this.weight = weight;
    }

    ClientAccountId account() {
        return account;
    }

    double weight() {
        return weight;
    }

    int size() {
        return entries.size();
    }

    /** Returns the number of waiting statements per weight; a full queue sheds from the account with the most. */
    double backlogPerWeight() {
        return entries.size() / weight;
    }

    void add(T item, long deadlineMillis) {
        entries.addLast(new Entry<>(item, deadlineMillis));
    }

    T removeNewest() {
        return entries.removeLast().item();
    }

    /** Adds the quantum of one round to the deficit and returns whether the deficit covers a statement. */
    boolean addQuantum(double quantum) {
        deficit += quantum;
        return deficit >= 1;
    }

    boolean canDequeue() {
        return deficit >= 1 && !entries.isEmpty();
    }

    T dequeue() {
        deficit -= 1;
        return entries.removeFirst().item();
    }

    /** Moves the statements whose deadline has passed to {@code expired}; returns the earliest remaining deadline. */
    long removeExpired(long nowMillis, List<T> expired) {
        long earliest = Long.MAX_VALUE;
        for (Iterator<Entry<T>> i = entries.iterator(); i.hasNext(); ) {
            Entry<T> entry = i.next();
            if (entry.deadlineMillis() <= nowMillis) {
                expired.add(entry.item());
                i.remove();
            } else {
                earliest = Math.min(earliest, entry.deadlineMillis());
            }
        }
        return earliest;
    }

    private record Entry<T>(T item, long deadlineMillis) {}
}
