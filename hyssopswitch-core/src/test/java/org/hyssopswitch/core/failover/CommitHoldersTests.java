package org.hyssopswitch.core.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hyssopswitch.core.position.LogPosition;
import org.junit.jupiter.api.Test;

class CommitHoldersTests {

    private static final int COPIES = 2;
    private static final CommitHolder PRIMARY = holder("p", false);
    private static final CommitHolder LEAVING = holder("a", true);
    private static final CommitHolder LAGGING = holder("b", false);

    private final CommitHolders group = CommitHolders.UNKNOWN.withListed(List.of(PRIMARY, LEAVING, LAGGING), "p");

    @Test
    void prefersAServerThatStaysIfBothHaveAllCommits() {
        Map<CommitHolder, LogPosition> received = Map.of(LEAVING, at(3, 90), LAGGING, at(3, 90));
        assertEquals(Optional.of(LAGGING), group.choosePrimary(COPIES, received, holder -> true));
    }

    @Test
    void choosesNoneWhileTwoServersMayBeAhead() {
        CommitHolders later = group.withListed(List.of(PRIMARY, LAGGING), "");
        assertTrue(later.choosePrimary(COPIES, Map.of(LAGGING, at(3, 5)), holder -> true)
                .isEmpty());
    }

    @Test
    void choosesNoneIfThePrimaryWasNeverSeen() {
        CommitHolders unseen = CommitHolders.UNKNOWN.withListed(List.of(LEAVING, LAGGING), "");
        assertTrue(unseen.choosePrimary(COPIES, Map.of(LAGGING, at(3, 5)), holder -> true)
                .isEmpty());
    }

    @Test
    void givesTheLogOfADrainedServerToItsSuccessorOnly() {
        CommitHolder successor = new CommitHolder("s", 2, LEAVING.host(), LEAVING.port(), false);
        CommitHolders later = group.withListed(List.of(PRIMARY, LAGGING, successor), "p");
        assertFalse(later.holders().contains(LEAVING));
        CommitHolder crashed = holder("b", false);
        CommitHolder newcomer = new CommitHolder("n", 2, crashed.host(), crashed.port(), false);
        assertTrue(later.withListed(List.of(PRIMARY, successor, newcomer), "p")
                .holders()
                .contains(crashed));
    }

    @Test
    void givesTheLogOfADrainedServerToNobodyOnceItHasStartedAgainWithout() {
        CommitHolder again = new CommitHolder("a", 2, LEAVING.host(), LEAVING.port(), true);
        CommitHolder successor = new CommitHolder("s", 3, LEAVING.host(), LEAVING.port(), false);
        CommitHolders later =
                group.withListed(List.of(PRIMARY, again, LAGGING), "p").withListed(List.of(PRIMARY, successor), "p");
        assertTrue(later.holders().stream().anyMatch(LEAVING::sameProcess));
        assertFalse(later.holders().stream().anyMatch(again::sameProcess));
    }

    /**
     * Replays replicas that leave, lapse, restart without their log or receive nothing, and primaries that crash: no
     * server that lacks an acknowledged commit is chosen.
     */
    @Property(seed = "1", tries = 3_000)
    void neverChoosesAServerThatLacksAnAcknowledgedCommit(@ForAll long seed) {
        Replay replay = new Replay(new Random(seed));
        for (int i = 0; i < 60; i++) {
            replay.step();
        }
    }

    private static CommitHolder holder(String endpoint, boolean draining) {
        return new CommitHolder(endpoint, 1, "10.0.0." + (int) endpoint.charAt(0), 1_000, draining);
    }

    private static LogPosition at(long term, long offset) {
        return new LogPosition(term, offset);
    }

    /** A group with one synchronous replica, as it is and as its holders are recorded. */
    private static final class Replay {

        private final Random random;
        private final List<Server> servers = new ArrayList<>();
        private CommitHolders recorded = CommitHolders.UNKNOWN;
        private LogPosition acknowledged = at(1, 0);
        private long term = 1;
        private long starts;

        Replay(Random random) {
            this.random = random;
            for (String id : List.of("p", "a", "b")) {
                servers.add(new Server(id, ++starts, id.charAt(0)));
            }
            servers.get(0).primary = true;
            list();
        }

        void step() {
            Server one = servers.get(random.nextInt(servers.size()));
            switch (random.nextInt(11)) {
                case 0 -> one.deaf = !one.primary && !one.deaf;
                case 1 -> one.draining = true;
                case 2 -> one.listed = !one.running || !one.listed;
                case 3 -> leave(one);
                case 4 -> one.crash();
                case 5 -> restart(one);
                case 6 -> promote();
                case 7 -> forgetEnded();
                default -> commit();
            }
            list();
        }

        private Optional<Server> primary() {
            return servers.stream().filter(one -> one.primary && one.running).findFirst();
        }

        /** Records what is listed, as the leader does within a moment. */
        private void list() {
            recorded = recorded.withListed(
                    servers.stream()
                            .filter(one -> one.listed)
                            .map(Server::holder)
                            .toList(),
                    primary().filter(one -> one.listed).map(one -> one.id).orElse(""));
        }

        private void commit() {
            primary().ifPresent(source -> {
                source.log = at(term, source.log.offset() + 1);
                servers.stream()
                        .filter(one -> one != source && one.running && !one.deaf)
                        .forEach(one -> {
                            one.log = source.log;
                            acknowledged = source.log;
                        });
            });
        }

        private void leave(Server one) {
            if (one.draining && one.running && !one.primary) {
                one.crash();
                one.listed = false;
                list();
                Server successor = new Server("s" + ++starts, starts, one.address);
                successor.log = one.log;
                servers.remove(one);
                servers.add(successor);
            }
        }

        private void restart(Server one) {
            if (!one.running && !one.primary) {
                one.listed = false;
                servers.remove(one);
                servers.add(new Server(one.id, ++starts, one.address));
            } else if (!one.running) {
                one.running = true;
                one.listed = true;
            }
        }

        private void promote() {
            if (primary().isPresent()) {
                return;
            }
            Map<CommitHolder, LogPosition> received = new HashMap<>();
            answers().forEach(one -> received.put(one.holder(), one.log));
            recorded.choosePrimary(COPIES, received, holder -> find(holder).exists(one -> one.listed))
                    .ifPresent(chosen -> {
                        Server target = find(chosen).get();
                        assertTrue(target.log.compareTo(acknowledged) >= 0, () -> target.id + " lacks commits");
                        recorded = recorded.withPromoted(chosen, target.log, ended());
                        servers.forEach(one -> one.primary = one == target);
                        term++;
                        servers.stream()
                                .filter(one -> one.running && !one.deaf)
                                .forEach(one -> one.log = at(term, target.log.offset()));
                    });
        }

        private void forgetEnded() {
            primary().filter(one -> one.listed).ifPresent(source -> {
                Map<CommitHolder, LogPosition> received = new HashMap<>();
                servers.stream()
                        .filter(one -> one.running && one.listed)
                        .forEach(one -> received.put(one.holder(), one.log));
                recorded = recorded.withoutEnded(ended(), COPIES, source.log, received);
            });
        }

        /** Returns the running servers that answer: all, or some of them. */
        private List<Server> answers() {
            boolean all = random.nextBoolean();
            return servers.stream()
                    .filter(one -> one.running && (all || random.nextBoolean()))
                    .toList();
        }

        private Set<CommitHolder> ended() {
            Set<CommitHolder> ended = new HashSet<>(recorded.holders());
            ended.removeIf(holder -> find(holder).exists(one -> one.running));
            return ended;
        }

        private Option<Server> find(CommitHolder holder) {
            return Option.ofOptional(servers.stream()
                    .filter(one -> one.holder().sameProcess(holder))
                    .findFirst());
        }
    }

    private static final class Server {

        private final String id;
        private final long born;
        private final int address;
        private LogPosition log = at(1, 0);
        private boolean primary;
        private boolean running = true;
        private boolean listed = true;
        private boolean draining;
        private boolean deaf;

        Server(String id, long born, int address) {
            this.id = id;
            this.born = born;
            this.address = address;
        }

        CommitHolder holder() {
            return new CommitHolder(id, born, "10.0.0." + address, 1_000, draining);
        }

        void crash() {
            running = false;
        }
    }
}
