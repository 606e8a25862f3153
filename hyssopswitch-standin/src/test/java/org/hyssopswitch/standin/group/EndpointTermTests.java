package org.hyssopswitch.standin.group;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.hyssopswitch.core.engine.ControlReply;
import org.hyssopswitch.core.engine.ControlRequest;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.position.EndpointRole;
import org.hyssopswitch.core.position.LogPosition;

/** Promotions by racing orderers that reach a part of the group and stop in the middle, in virtual time. */
class EndpointTermTests {

    private static final int ENDPOINTS = 3;
    private static final int MAJORITY = 2;

    @Property(tries = 2_000, seed = "17")
    void keepsAcknowledgedEntriesAndOnePrimaryInATerm(@ForAll("steps") List<Step> steps) {
        Group group = new Group();
        for (Step step : steps) {
            group.run(step);
            group.check();
        }
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Integer> index = Arbitraries.integers().between(0, ENDPOINTS - 1);
        return Combinators.combine(
                        Arbitraries.of(Kind.values()),
                        index,
                        Arbitraries.integers().between(0, (1 << ENDPOINTS) - 1),
                        Arbitraries.integers().between(0, 2),
                        Arbitraries.integers().between(0, 3))
                .as(Step::new)
                .list()
                .ofMinSize(5)
                .ofMaxSize(100);
    }

    private enum Kind {
        WRITE,
        REPLICATE,
        ACKNOWLEDGE,
        PROMOTE
    }

    /**
     * One step.
     *
     * @param reach endpoints that an orderer reaches, as bits
     * @param termGap how far an orderer's term is above the highest it has seen, less one
     * @param phases how much of a promotion an orderer gets done
     */
    private record Step(Kind kind, int endpoint, int reach, int termGap, int phases) {}

    private static final class Group {

        private final List<Endpoint> endpoints = new ArrayList<>();
        private final Map<String, LogPosition> written = new HashMap<>();
        private final List<String> acknowledged = new ArrayList<>();
        private final Map<Long, EndpointId> primaries = new HashMap<>();
        private long orderers;
        private long now;

        Group() {
            for (int i = 1; i <= ENDPOINTS; i++) {
                endpoints.add(new Endpoint(new EndpointId("e" + i), 0));
            }
            promote("vm-0", 1, endpoints, 3);
        }

        void run(Step step) {
            now++;
            Endpoint endpoint = endpoints.get(step.endpoint());
            switch (step.kind()) {
                case WRITE -> endpoints.forEach(this::write);
                case REPLICATE -> endpoint.leader().ifPresent(l -> endpoint.replicate(byId(l), now, 0));
                case ACKNOWLEDGE -> List.copyOf(written.keySet()).forEach(this::acknowledge);
                default -> promote(step);
            }
        }

        void check() {
            for (Endpoint endpoint : endpoints) {
                if (endpoint.role() == EndpointRole.PRIMARY) {
                    EndpointId first = primaries.putIfAbsent(endpoint.acceptedTerm(), endpoint.id());
                    assertTrue(first == null || first.equals(endpoint.id()), "two primaries in one term");
                    checkAcknowledged(endpoint);
                }
                endpoints.forEach(other -> checkLogs(endpoint.log(), other.log()));
            }
        }

        /** Logs with an entry of the same term at the same offset are equal up to it. */
        private static void checkLogs(ReplicationLog log, ReplicationLog other) {
            int common = log.commonPrefix(other);
            assertEquals(log.entries().subList(0, common), other.entries().subList(0, common));
        }

        /** A primary holds what was acknowledged in its own and all lower terms. */
        private void checkAcknowledged(Endpoint primary) {
            for (String key : acknowledged) {
                if (written.get(key).term() <= primary.acceptedTerm()) {
                    assertTrue(primary.store().row(key).isPresent(), () -> key + " is lost at " + primary.id());
                }
            }
        }

        private void write(Endpoint endpoint) {
            String key = endpoint.id() + "-" + now;
            Transaction transaction = new Transaction(endpoint.acceptedTerm(), false);
            transaction.put(endpoint.store(), key, "v");
            boolean primary = endpoint.role() == EndpointRole.PRIMARY;
            assertEquals(
                    primary,
                    endpoint.commit(transaction, now)
                            .peek(p -> written.put(key, p))
                            .isRight());
        }

        private void acknowledge(String key) {
            LogPosition position = written.get(key);
            long confirmed = endpoints.stream()
                    .map(e -> e.await(position.term(), position.offset(), now))
                    .filter(r -> r.map(ControlReply::accepted).orElse(false))
                    .count();
            boolean byPrimary = endpoints.stream()
                    .anyMatch(e -> e.role() == EndpointRole.PRIMARY && e.acceptedTerm() == position.term());
            if (confirmed >= MAJORITY && byPrimary && !acknowledged.contains(key)) {
                acknowledged.add(key);
            }
        }

        private void promote(Step step) {
            List<Endpoint> reached = new ArrayList<>();
            for (int i = 0; i < ENDPOINTS; i++) {
                if ((step.reach() & 1 << i) != 0) {
                    reached.add(endpoints.get(i));
                }
            }
            long seen = reached.stream().mapToLong(Endpoint::acceptedTerm).max().orElse(0);
            promote("vm-" + ++orderers, seen + step.termGap(), reached, step.phases());
        }

        private void promote(String orderer, long term, List<Endpoint> reached, int phases) {
            List<Endpoint> fenced = reached.stream()
                    .filter(e -> e.control(new ControlRequest.Fence(term, orderer), now)
                            .accepted())
                    .toList();
            Optional<Endpoint> best = fenced.stream().max(Comparator.comparing(Endpoint::applied));
            if (fenced.size() < MAJORITY || phases == 0) {
                return;
            }
            boolean promoted = best.get()
                    .control(new ControlRequest.Promote(term, orderer), now)
                    .accepted();
            for (Endpoint endpoint : reached) {
                if (promoted && phases > 1) {
                    endpoint.control(new ControlRequest.Follow(term, best.get().id()), now);
                }
            }
        }

        private Endpoint byId(EndpointId id) {
            return endpoints.stream().filter(e -> e.id().equals(id)).findFirst().orElseThrow();
        }
    }
}
