package org.hyssopswitch.core.fairness;

import io.vavr.control.Option;
import java.util.List;
import java.util.Optional;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.identity.ClientAccountId;

/** The queue under test, weighted by the rates of {@link FairnessRun}. */
final class FairQueue implements StatementQueue<FairnessRun.Statement> {

    private final DeficitRoundRobinQueue<FairnessRun.Statement> queue =
            new DeficitRoundRobinQueue<>(FairnessRun::rate, QueueLimits.DEFAULT);

    @Override
    public Option<Refusal> offer(
            ClientAccountId account, FairnessRun.Statement item, long deadlineMillis, long nowMillis) {
        return queue.offer(account, item, deadlineMillis, nowMillis);
    }

    @Override
    public Optional<FairnessRun.Statement> poll(long nowMillis) {
        return queue.poll(nowMillis);
    }

    @Override
    public List<FairnessRun.Statement> expire(long nowMillis) {
        return queue.expire(nowMillis);
    }

    @Override
    public int size() {
        return queue.size();
    }
}
