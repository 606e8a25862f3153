package org.hyssopswitch.core.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.DecisionEngine;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.engine.PlatformFailure;
import org.hyssopswitch.core.failure.Failure;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.identity.VmId;
import org.hyssopswitch.core.message.PeerMessage;

/** Several VMs, a platform and links with injected delay, message loss and partitions, in virtual time. */
final class ConfigurationCluster {

    static final long STEP_MILLIS = 50;
    private static final long WATCH_MILLIS = 5_000;

    /** Time that a call may take beyond the wait it asked for, milliseconds. */
    private static final long CALL_TIMEOUT_MILLIS = 2_000;

    private final FakeConfigurationPlatform platform = new FakeConfigurationPlatform();
    private final Map<Integer, Node> nodes = new TreeMap<>();
    private final List<InFlightMessage> messages = new ArrayList<>();
    private final List<PendingAnswer> answers = new ArrayList<>();
    private final List<OpenWatch> watches = new ArrayList<>();
    private final Set<Integer> isolated = new HashSet<>();
    private final Set<Integer> cutFromPlatform = new HashSet<>();
    private final ConfigurationSettings settings;
    private final SplittableRandom random;
    private long nowMillis = 10_000;
    private long incarnations;
    private boolean swallowing;
    private int dropPercent;
    private long maxDelayMillis;
    private long sentMessages;

    ConfigurationCluster(int size, ConfigurationSettings settings, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        for (int i = 0; i < size; i++) {
            start(i);
        }
    }

    FakeConfigurationPlatform platform() {
        return platform;
    }

    ConfigurationStatus status(int index) {
        return nodes.get(index).system;
    }

    long nowMillis() {
        return nowMillis;
    }

    long sentMessages() {
        return sentMessages;
    }

    int size() {
        return nodes.size();
    }

    void setLinkFaults(int percent, long delayMillis) {
        dropPercent = percent;
        maxDelayMillis = delayMillis;
    }

    void isolate(int index) {
        isolated.add(index);
        updateViews();
    }

    void cutFromPlatform(int index) {
        cutFromPlatform.add(index);
    }

    /** Swallows watches, also those in flight: they end by their timeouts, whenever the swallowing ends. */
    void setSwallowing(boolean swallow) {
        swallowing = swallow;
        if (swallow) {
            watches.replaceAll(
                    watch -> new OpenWatch(watch.index, watch.from, watch.call, watch.after, watch.sentMillis, true));
        }
    }

    void heal() {
        isolated.clear();
        cutFromPlatform.clear();
        setLinkFaults(0, 0);
        platform.setAvailable(true);
        updateViews();
    }

    void stop(int index) {
        nodes.remove(index);
        updateViews();
    }

    /** Starts a VM, or restarts it with a new incarnation and without any state. */
    void start(int index) {
        incarnations++;
        VmAddress self = new VmAddress(
                new VmId("vm" + index),
                incarnations,
                new DataCentreId("dc"),
                new CellId("c"),
                "127.0.0.1",
                1000 + index);
        nodes.put(index, new Node(self));
        updateViews();
    }

    void run(long millis) {
        for (long end = nowMillis + millis; nowMillis < end; ) {
            step();
        }
    }

    /** Runs until all VMs have the platform's version in force; returns the elapsed time in milliseconds. */
    long runUntilConverged(long limitMillis) {
        long begin = nowMillis;
        while (!isConverged()) {
            assertTrue(nowMillis - begin <= limitMillis, () -> "not converged: " + versions());
            step();
        }
        return nowMillis - begin;
    }

    boolean isConverged() {
        return nodes.values().stream().allMatch(n -> n.system.version() == platform.configurationVersion());
    }

    private List<Long> versions() {
        return nodes.values().stream().map(n -> n.system.version()).toList();
    }

    private void step() {
        nowMillis += STEP_MILLIS;
        List<InFlightMessage> due =
                messages.stream().filter(m -> m.dueMillis <= nowMillis).toList();
        messages.removeAll(due);
        due.forEach(this::deliver);
        List<OpenWatch> answered = watches.stream().filter(this::isAnswered).toList();
        watches.removeAll(answered);
        answered.forEach(this::answer);
        List<PendingAnswer> ended = List.copyOf(answers);
        answers.clear();
        nodes.values()
                .forEach(n -> ended.stream().filter(a -> a.to.equals(n.self)).forEach(a -> n.handle(a.event)));
        nodes.values().forEach(Node::tick);
    }

    private boolean isAnswered(OpenWatch watch) {
        if (watch.swallowed) {
            return nowMillis - watch.sentMillis >= WATCH_MILLIS + CALL_TIMEOUT_MILLIS;
        }
        return !platform.isAvailable()
                || cutFromPlatform.contains(watch.index)
                || platform.hasChangesAfter(watch.after)
                || nowMillis - watch.sentMillis >= WATCH_MILLIS;
    }

    private void answer(OpenWatch watch) {
        Node node = nodes.get(watch.index);
        if (node == null || !node.self.equals(watch.from)) {
            return;
        }
        var result = watch.swallowed || cutFromPlatform.contains(watch.index)
                ? Either.<PlatformFailure, org.hyssopswitch.core.engine.PrefixChanges>left(
                        new PlatformFailure.NoAnswer("config/teams/", "cut off"))
                : platform.readChanges(watch.after);
        node.handle(new Event.PrefixWatchCompleted(watch.call, result));
    }

    private void deliver(InFlightMessage message) {
        int to = message.to.port() - 1000;
        Node node = nodes.get(to);
        int from = message.from.port() - 1000;
        boolean reachable =
                node != null && node.self.equals(message.to) && isolated.contains(from) == isolated.contains(to);
        if (reachable && random.nextInt(100) >= dropPercent) {
            node.handle(new Event.MessageReceived(message.from, message.message));
        } else if (nodes.containsKey(from) && !reachable) {
            nodes.get(from).handle(new Event.LinkFailed(message.to));
        }
    }

    private void updateViews() {
        for (Map.Entry<Integer, Node> entry : nodes.entrySet()) {
            boolean side = isolated.contains(entry.getKey());
            entry.getValue()
                    .view
                    .setLiveMembers(nodes.entrySet().stream()
                            .filter(e -> isolated.contains(e.getKey()) == side)
                            .map(e -> e.getValue().self)
                            .toList());
        }
    }

    private record InFlightMessage(long dueMillis, VmAddress from, VmAddress to, PeerMessage message) {}

    private record PendingAnswer(VmAddress to, Event event) {}

    private record OpenWatch(int index, VmAddress from, long call, long after, long sentMillis, boolean swallowed) {}

    /** A simulated VM. */
    private final class Node {

        private final VmAddress self;
        private final FakeMembershipView view;
        private final ConfigurationSystem system;
        private final DecisionEngine engine;

        Node(VmAddress self) {
            this.self = self;
            this.view = new FakeMembershipView(self);
            AtomicLong callNumbers = new AtomicLong();
            this.system = new ConfigurationSystem(
                    view, ConfigurationCluster::decode, settings, callNumbers::incrementAndGet, random.split());
            this.engine = new DecisionEngine(List.of(system));
        }

        void tick() {
            perform(engine.tick(nowMillis));
        }

        void handle(Event event) {
            perform(engine.handle(event, nowMillis));
        }

        private void perform(List<Action> actions) {
            for (Action action : actions) {
                if (action instanceof Action.SendMessage send) {
                    sentMessages++;
                    long delay = STEP_MILLIS + random.nextLong(maxDelayMillis + 1);
                    messages.add(new InFlightMessage(nowMillis + delay, self, send.to(), send.message()));
                } else if (action instanceof Action.WatchPrefix watch) {
                    platform.recordCall();
                    watches.add(new OpenWatch(
                            self.port() - 1000, self, watch.call(), watch.afterVersion(), nowMillis, swallowing));
                } else if (action instanceof Action.ReadObject read) {
                    answers.add(new PendingAnswer(
                            self, new Event.ObjectCallCompleted(read.call(), platform.readReport(read.path()))));
                } else if (action instanceof Action.UpdateObject update) {
                    answers.add(new PendingAnswer(
                            self,
                            new Event.ObjectCallCompleted(
                                    update.call(),
                                    platform.updateReport(update.path(), update.expectedVersion(), update.value()))));
                } else if (action instanceof Action.ApplyConfiguration apply) {
                    checkWhole(apply.configuration());
                }
            }
        }

        /** Checks that a version in force is complete: it has exactly the subtrees of the platform at that version. */
        private void checkWhole(Configuration configuration) {
            assertEquals(configuration, engine.configuration(), "a version must never revert");
            Map<String, Long> teams = new HashMap<>();
            configuration.teams().forEach((t, c) -> teams.put(t.value(), c.version()));
            assertEquals(platform.teamVersionsAt(configuration.version()), teams, "version " + configuration.version());
        }
    }

    /** Fails for values that begin with "invalid". */
    static Either<? extends Failure, TeamConfiguration> decode(
            org.hyssopswitch.core.identity.TeamId team, long version, byte[] value) {
        String text = new String(value, java.nio.charset.StandardCharsets.UTF_8);
        return text.startsWith("invalid")
                ? Either.left(new PlatformFailure.Forbidden(text))
                : Either.right(new TeamConfiguration(team, version, List.of(), List.of(), List.of()));
    }
}
