package org.hyssopswitch.core.session;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.DecisionSystem;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.placement.HomeResolver;

/**
 * Keeps the endpoint table of an entry VM fresh: the VM subscribes with the homes of the endpoints of databases in use,
 * and homes send hints to their subscribers when a status has changed.
 *
 * <p>The traffic of a VM grows with the databases it uses and with the subscribers of its own endpoints, both bounded.
 */
public final class HintSystem implements DecisionSystem {

    /** Hints that a home sends per second when it has many subscribers. */
    public static final int DEFAULT_HINTS_PER_SECOND = 400;

    private static final long RENEW_MILLIS = 2_000;
    private static final long LAPSE_MILLIS = 6_000;
    private static final long CHANGED_HINT_MILLIS = 50;
    private static final long UNCHANGED_HINT_MILLIS = 1_000;
    private static final int MAX_SUBSCRIBERS_PER_ENDPOINT = 256;
    private static final int MAX_SUBSCRIBED_ENDPOINTS = 1_024;

    private final VmAddress self;
    private final HomeResolver homes;
    private final EndpointTable table;
    private final int hintsPerSecond;
    private final RandomGenerator random;
    private final Map<EndpointId, Map<VmAddress, Long>> subscribers = new HashMap<>();
    private final Map<EndpointId, SentHint> sent = new HashMap<>();
    private final Map<EndpointId, Subscribed> subscribed = new HashMap<>();

    /**
     * Creates the system.
     *
     * @param self this VM
     * @param homes finds the homes of endpoints
     * @param table the table to keep fresh, and to send hints from
     * @param hintsPerSecond hints that this VM sends per second at most, as long as each endpoint gets one a second
     * @param random jitter
     */
    public HintSystem(
            VmAddress self, HomeResolver homes, EndpointTable table, int hintsPerSecond, RandomGenerator random) {
        this.self = self;
        this.homes = homes;
        this.table = table;
        this.hintsPerSecond = hintsPerSecond;
        this.random = random;
    }

    /**
     * Whether this VM or a subscriber of it sends statements to an endpoint.
     *
     * @param endpoint the endpoint
     */
    public boolean isInUse(EndpointId endpoint) {
        return subscribers.containsKey(endpoint)
                || table.databaseOf(endpoint).filter(d -> table.isUsed(d.id())).isPresent();
    }

    @Override
    public void tick(long nowMillis, Outbox out) {
        table.expire(nowMillis);
        subscribe(nowMillis, out);
        publish(nowMillis, out);
    }

    @Override
    public void handle(Event event, long nowMillis, Outbox out) {
        if (!(event instanceof Event.MessageReceived received)) {
            return;
        }
        if (received.message() instanceof HintSubscription subscription) {
            subscription.endpoints().forEach(e -> addSubscriber(e, received.from(), nowMillis));
        } else if (received.message() instanceof EndpointHints hints) {
            hints.hints().forEach(h -> table.observe(h, nowMillis));
        }
    }

    private void subscribe(long nowMillis, Outbox out) {
        Map<VmAddress, List<EndpointId>> due = new LinkedHashMap<>();
        for (DatabaseId database : table.usedDatabases()) {
            table.declaredEndpoints(database).forEach(e -> subscribeIfDue(e, nowMillis, due));
        }
        due.forEach((home, endpoints) -> out.add(new Action.SendMessage(home, new HintSubscription(endpoints))));
        subscribed.values().removeIf(s -> nowMillis - s.renewMillis() > LAPSE_MILLIS);
    }

    private void subscribeIfDue(EndpointDeclaration endpoint, long nowMillis, Map<VmAddress, List<EndpointId>> due) {
        List<VmAddress> ranked = homes.homes(endpoint);
        if (ranked.isEmpty() || ranked.get(0).equals(self)) {
            return;
        }
        VmAddress home = ranked.get(0);
        Subscribed current = subscribed.get(endpoint.id());
        if (current == null || !current.home().equals(home) || nowMillis >= current.renewMillis()) {
            long renew = nowMillis + RENEW_MILLIS / 2 + random.nextLong(RENEW_MILLIS);
            subscribed.put(endpoint.id(), new Subscribed(home, renew));
            due.computeIfAbsent(home, h -> new ArrayList<>()).add(endpoint.id());
        }
    }

    private void addSubscriber(EndpointId endpoint, VmAddress from, long nowMillis) {
        boolean declared = table.declaration(endpoint).isPresent();
        if (!declared || (!subscribers.containsKey(endpoint) && subscribers.size() >= MAX_SUBSCRIBED_ENDPOINTS)) {
            return;
        }
        Map<VmAddress, Long> known = subscribers.computeIfAbsent(endpoint, e -> new LinkedHashMap<>());
        if (known.containsKey(from) || known.size() < MAX_SUBSCRIBERS_PER_ENDPOINT) {
            boolean fresh = known.put(from, nowMillis + LAPSE_MILLIS) == null;
            if (fresh) {
                sent.remove(endpoint);
            }
        }
    }

    private void publish(long nowMillis, Outbox out) {
        Map<VmAddress, List<EndpointHint>> batches = new LinkedHashMap<>();
        subscribers.forEach((endpoint, known) -> {
            known.values().removeIf(until -> nowMillis >= until);
            table.row(endpoint)
                    .filter(row -> isDue(endpoint, row, nowMillis))
                    .ifPresent(row -> address(endpoint, row, known, nowMillis, batches));
        });
        subscribers.values().removeIf(Map::isEmpty);
        sent.keySet().retainAll(subscribers.keySet());
        batches.forEach((to, hints) -> out.add(new Action.SendMessage(to, new EndpointHints(hints))));
    }

    private boolean isDue(EndpointId endpoint, EndpointRow row, long nowMillis) {
        SentHint last = sent.get(endpoint);
        if (last == null) {
            return true;
        }
        boolean same = row.measuredMillis() == last.row().measuredMillis()
                && row.status().applied().equals(last.row().status().applied());
        long interval = same ? UNCHANGED_HINT_MILLIS : changedInterval();
        return nowMillis - last.sentMillis() >= interval;
    }

    /** Grows with the number of subscriptions, so that the hints sent per second stay bounded. */
    private long changedInterval() {
        long subscriptions = subscribers.values().stream().mapToLong(Map::size).sum();
        long interval = subscriptions * 1_000 / hintsPerSecond;
        return Math.min(UNCHANGED_HINT_MILLIS, Math.max(CHANGED_HINT_MILLIS, interval));
    }

    private void address(
            EndpointId endpoint,
            EndpointRow row,
            Map<VmAddress, Long> known,
            long nowMillis,
            Map<VmAddress, List<EndpointHint>> batches) {
        sent.put(endpoint, new SentHint(row, nowMillis));
        long age = Math.max(0, nowMillis - row.measuredMillis());
        EndpointHint hint = new EndpointHint(row.status(), age, row.load());
        known.keySet().forEach(to -> batches.computeIfAbsent(to, t -> new ArrayList<>())
                .add(hint));
    }

    private record Subscribed(VmAddress home, long renewMillis) {}

    private record SentHint(EndpointRow row, long sentMillis) {}
}
