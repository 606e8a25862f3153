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
 * Keeps the endpoint table of an entry VM up to date. The VM subscribes to the endpoints of databases in use at the
 * homes of these endpoints, and each home sends hints to its subscribers, a changed status sooner than an unchanged
 * one.
 *
 * <p>A VM's traffic grows with the databases it uses and with the subscribers of its own endpoints; both are bounded.
 */
public final class HintSystem implements DecisionSystem {

    /** Default limit of the hints that a home sends per second to all subscribers together. */
    public static final int DEFAULT_HINTS_PER_SECOND = 400;

    private static final long SUBSCRIPTION_RENEWAL_MILLIS = 2_000;
    private static final long SUBSCRIPTION_EXPIRY_MILLIS = 6_000;
    private static final long MIN_CHANGED_HINT_INTERVAL_MILLIS = 50;
    private static final long UNCHANGED_HINT_INTERVAL_MILLIS = 1_000;
    private static final int MAX_SUBSCRIBERS_PER_ENDPOINT = 256;
    private static final int MAX_SUBSCRIBED_ENDPOINTS = 1_024;

    private final VmAddress self;
    private final HomeResolver homes;
    private final EndpointTable table;
    private final int hintsPerSecond;
    private final RandomGenerator random;
    private final Map<EndpointId, Map<VmAddress, Long>> subscribers = new HashMap<>();
    private final Map<EndpointId, LastHint> lastHints = new HashMap<>();
    private final Map<EndpointId, Subscription> subscriptions = new HashMap<>();

    /**
     * Creates the system.
     *
     * @param self this VM
     * @param homes resolves the homes of endpoints
     * @param table the table that received hints update and sent hints are read from
     * @param hintsPerSecond maximum number of hints that this VM sends per second; exceeded only where one hint per
     *     subscription and second requires it
     * @param random source of jitter for subscription renewal
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
     * Whether this VM uses the database of an endpoint or another VM is subscribed to the endpoint.
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
        renewSubscriptions(nowMillis, out);
        publishHints(nowMillis, out);
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

    private void renewSubscriptions(long nowMillis, Outbox out) {
        Map<VmAddress, List<EndpointId>> due = new LinkedHashMap<>();
        for (DatabaseId database : table.usedDatabases()) {
            table.declaredEndpoints(database).forEach(e -> renewIfDue(e, nowMillis, due));
        }
        due.forEach((home, endpoints) -> out.add(new Action.SendMessage(home, new HintSubscription(endpoints))));
        subscriptions.values().removeIf(s -> nowMillis - s.renewAtMillis() > SUBSCRIPTION_EXPIRY_MILLIS);
    }

    private void renewIfDue(EndpointDeclaration endpoint, long nowMillis, Map<VmAddress, List<EndpointId>> due) {
        List<VmAddress> ranked = homes.homes(endpoint);
        if (ranked.isEmpty() || ranked.get(0).equals(self)) {
            return;
        }
        VmAddress home = ranked.get(0);
        Subscription current = subscriptions.get(endpoint.id());
        if (current == null || !current.home().equals(home) || nowMillis >= current.renewAtMillis()) {
            long renewAtMillis =
                    nowMillis + SUBSCRIPTION_RENEWAL_MILLIS / 2 + random.nextLong(SUBSCRIPTION_RENEWAL_MILLIS);
            subscriptions.put(endpoint.id(), new Subscription(home, renewAtMillis));
            due.computeIfAbsent(home, h -> new ArrayList<>()).add(endpoint.id());
        }
    }

    private void addSubscriber(EndpointId endpoint, VmAddress from, long nowMillis) {
        boolean declared = table.declaration(endpoint).isPresent();
        if (!declared || (!subscribers.containsKey(endpoint) && subscribers.size() >= MAX_SUBSCRIBED_ENDPOINTS)) {
            return;
        }
        Map<VmAddress, Long> expiryBySubscriber = subscribers.computeIfAbsent(endpoint, e -> new LinkedHashMap<>());
        if (expiryBySubscriber.containsKey(from) || expiryBySubscriber.size() < MAX_SUBSCRIBERS_PER_ENDPOINT) {
            boolean isNew = expiryBySubscriber.put(from, nowMillis + SUBSCRIPTION_EXPIRY_MILLIS) == null;
            if (isNew) {
                lastHints.remove(endpoint);
            }
        }
    }

    private void publishHints(long nowMillis, Outbox out) {
        Map<VmAddress, List<EndpointHint>> batches = new LinkedHashMap<>();
        subscribers.forEach((endpoint, expiryBySubscriber) -> {
            expiryBySubscriber.values().removeIf(expiry -> nowMillis >= expiry);
            table.row(endpoint)
                    .filter(row -> isDue(endpoint, row, nowMillis))
                    .ifPresent(row -> addHint(endpoint, row, expiryBySubscriber, nowMillis, batches));
        });
        subscribers.values().removeIf(Map::isEmpty);
        lastHints.keySet().retainAll(subscribers.keySet());
        batches.forEach((to, hints) -> out.add(new Action.SendMessage(to, new EndpointHints(hints))));
    }

    private boolean isDue(EndpointId endpoint, EndpointRow row, long nowMillis) {
        LastHint last = lastHints.get(endpoint);
        if (last == null) {
            return true;
        }
        boolean unchanged = row.measuredMillis() == last.row().measuredMillis()
                && row.status().applied().equals(last.row().status().applied());
        long interval = unchanged ? UNCHANGED_HINT_INTERVAL_MILLIS : changedHintIntervalMillis();
        return nowMillis - last.sentMillis() >= interval;
    }

    /** Returns the interval between hints of a changed status; grows with the subscriptions to bound the send rate. */
    private long changedHintIntervalMillis() {
        long subscriptionCount =
                subscribers.values().stream().mapToLong(Map::size).sum();
        long interval = subscriptionCount * 1_000 / hintsPerSecond;
        return Math.min(UNCHANGED_HINT_INTERVAL_MILLIS, Math.max(MIN_CHANGED_HINT_INTERVAL_MILLIS, interval));
    }

    private void addHint(
            EndpointId endpoint,
            EndpointRow row,
            Map<VmAddress, Long> expiryBySubscriber,
            long nowMillis,
            Map<VmAddress, List<EndpointHint>> batches) {
        lastHints.put(endpoint, new LastHint(row, nowMillis));
        long age = Math.max(0, nowMillis - row.measuredMillis());
        EndpointHint hint = new EndpointHint(row.status(), age, row.load());
        expiryBySubscriber.keySet().forEach(to -> batches.computeIfAbsent(to, t -> new ArrayList<>())
                .add(hint));
    }

    private record Subscription(VmAddress home, long renewAtMillis) {}

    private record LastHint(EndpointRow row, long sentMillis) {}
}
