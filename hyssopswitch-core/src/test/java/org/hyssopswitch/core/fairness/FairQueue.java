package org.hyssopswitch.core.fairness;

import io.vavr.control.Option;
import java.util.List;
import java.util.Optional;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.identity.ClientAccountId;

/** The {@link DeficitRoundRobinQueue} under test, weighted by the rates of {@link FairnessSimulation}. */
final class FairQueue implements StatementQueue<FairnessSimulation.WaitingStatement> {

    private final DeficitRoundRobinQueue<FairnessSimulation.WaitingStatement> queue =
            new DeficitRoundRobinQueue<>(FairnessSimulation::rate, QueueLimits.DEFAULT);

    @Override
    public Option<Refusal> offer(
            ClientAccountId account, FairnessSimulation.WaitingStatement item, long deadlineMillis, long nowMillis) {
        return queue.offer(account, item, deadlineMillis, nowMillis);
    }

    @Override
    public Optional<FairnessSimulation.WaitingStatement> poll(long nowMillis) {
        return queue.poll(nowMillis);
    }

    @Override
    public List<FairnessSimulation.WaitingStatement> removeDropped(long nowMillis) {
        return queue.removeDropped(nowMillis);
    }

    @Override
    public int size() {
        return queue.size();
    }
}
