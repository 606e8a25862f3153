package org.hyssopswitch.core.fairness;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.junit.jupiter.api.Test;

class DeficitRoundRobinQueueTests {

    private static final ClientAccountId LARGE = new ClientAccountId("large");
    private static final ClientAccountId SMALL = new ClientAccountId("small");

    @Test
    void servesAccountsInProportionToTheirWeights() {
        DeficitRoundRobinQueue<ClientAccountId> queue = queue(200, 400);
        for (int i = 0; i < 100; i++) {
            queue.offer(LARGE, LARGE, 1_000, 0);
            queue.offer(SMALL, SMALL, 1_000, 0);
        }
        Map<ClientAccountId, Integer> served = new HashMap<>();
        for (int i = 0; i < 50; i++) {
            served.merge(queue.poll(1).orElseThrow(), 1, Integer::sum);
        }
        assertEquals(40, served.get(LARGE), 1);
        assertEquals(10, served.get(SMALL), 1);
    }

    @Test
    void servesStatementsOfOneAccountInOrder() {
        DeficitRoundRobinQueue<Integer> queue = new DeficitRoundRobinQueue<>(a -> 1, new QueueLimits(10, 10));
        for (int i = 0; i < 5; i++) {
            queue.offer(SMALL, i, 1_000, 0);
        }
        List<Integer> served = new ArrayList<>();
        for (Optional<Integer> next = queue.poll(1); next.isPresent(); next = queue.poll(1)) {
            served.add(next.get());
        }
        assertEquals(List.of(0, 1, 2, 3, 4), served);
    }

    @Test
    void refusesStatementBeyondAccountLimitWithRetryDelay() {
        DeficitRoundRobinQueue<Integer> queue = new DeficitRoundRobinQueue<>(a -> 1, new QueueLimits(2, 10));
        queue.offer(LARGE, 1, 1_000, 0);
        queue.offer(LARGE, 2, 1_000, 0);
        Refusal refusal = queue.offer(LARGE, 3, 1_000, 0).get();
        Refusal.Overloaded overloaded = (Refusal.Overloaded) refusal;
        assertEquals(LARGE, overloaded.account());
        assertTrue(overloaded.retryAfterMillis() > 0);
        assertTrue(queue.offer(SMALL, 4, 1_000, 0).isEmpty());
    }

    @Test
    void shedsNewestStatementOfAccountWithLongestBacklogWhenFull() {
        DeficitRoundRobinQueue<Integer> queue = new DeficitRoundRobinQueue<>(a -> 1, new QueueLimits(4, 4));
        for (int i = 0; i < 4; i++) {
            queue.offer(LARGE, i, 1_000, 0);
        }
        assertTrue(queue.offer(SMALL, 10, 1_000, 0).isEmpty());
        assertEquals(List.of(3), queue.removeDropped(0));
        assertEquals(4, queue.size());
        assertTrue(queue.offer(LARGE, 11, 1_000, 0).isDefined());
    }

    @Test
    void neverServesStatementAfterItsDeadline() {
        DeficitRoundRobinQueue<Integer> queue = new DeficitRoundRobinQueue<>(a -> 1, new QueueLimits(4, 4));
        queue.offer(SMALL, 1, 10, 0);
        queue.offer(SMALL, 2, 100, 0);
        assertEquals(Optional.of(2), queue.poll(10));
        assertEquals(List.of(1), queue.removeDropped(10));
        assertEquals(List.of(), queue.removeDropped(10));
        assertTrue(queue.offer(SMALL, 3, 10, 10).isDefined());
    }

    @Property(seed = "218115", tries = 200)
    void servesOrDropsEveryAcceptedStatementExactlyOnce(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        DeficitRoundRobinQueue<Integer> queue =
                new DeficitRoundRobinQueue<>(a -> 1 + a.value().length() % 3, new QueueLimits(5, 12));
        Set<Integer> waiting = new HashSet<>();
        for (int i = 0; i < 300; i++) {
            long now = i / 3;
            if (random.nextInt(3) > 0) {
                ClientAccountId account = new ClientAccountId("a".repeat(1 + random.nextInt(5)));
                if (queue.offer(account, i, now + random.nextInt(20), now).isEmpty()) {
                    waiting.add(i);
                }
            } else {
                queue.poll(now).ifPresent(s -> assertTrue(waiting.remove(s)));
            }
            queue.removeDropped(now).forEach(s -> assertTrue(waiting.remove(s)));
            assertEquals(waiting.size(), queue.size());
            assertTrue(queue.size() <= 12);
        }
    }

    private static DeficitRoundRobinQueue<ClientAccountId> queue(int perAccount, int total) {
        return new DeficitRoundRobinQueue<>(a -> a.equals(LARGE) ? 400 : 100, new QueueLimits(perAccount, total));
    }
}
