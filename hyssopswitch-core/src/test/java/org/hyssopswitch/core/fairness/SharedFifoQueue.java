package org.hyssopswitch.core.fairness;

import io.vavr.control.Option;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.identity.ClientAccountId;

/** The baseline: one first-in-first-out queue for all client accounts, with the same total limit. */
final class SharedFifoQueue implements StatementQueue<FairnessSimulation.WaitingStatement> {

    private final Deque<FairnessSimulation.WaitingStatement> queue = new ArrayDeque<>();

    @Override
    public Option<Refusal> offer(
            ClientAccountId account, FairnessSimulation.WaitingStatement item, long deadlineMillis, long nowMillis) {
        if (queue.size() >= QueueLimits.DEFAULT.total()) {
            return Option.some(new Refusal.Overloaded(account, 100));
        }
        queue.add(item);
        return Option.none();
    }

    @Override
    public Optional<FairnessSimulation.WaitingStatement> poll(long nowMillis) {
        return Optional.ofNullable(queue.poll());
    }

    @Override
    public List<FairnessSimulation.WaitingStatement> removeDropped(long nowMillis) {
        List<FairnessSimulation.WaitingStatement> expired = new ArrayList<>();
        for (Iterator<FairnessSimulation.WaitingStatement> i = queue.iterator(); i.hasNext(); ) {
            FairnessSimulation.WaitingStatement next = i.next();
            if (next.deadlineMillis() <= nowMillis) {
                expired.add(next);
                i.remove();
            }
        }
        return expired;
    }

    @Override
    public int size() {
        return queue.size();
    }
}
