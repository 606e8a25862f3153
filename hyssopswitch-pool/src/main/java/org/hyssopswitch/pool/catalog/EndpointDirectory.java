package org.hyssopswitch.pool.catalog;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The endpoints listed in the store, with removals deferred after a store outage.
 *
 * <p>Entries expire while endpoints cannot renew them, and reappear shortly after the store recovers. An entry that is
 * missing right after an outage is therefore kept for a grace period.
 */
public final class EndpointDirectory {

    /** Time in which running endpoints renew their entries after the store recovers, with a margin, milliseconds. */
    private static final long RENEWAL_GRACE_MILLIS = 2_500;

    private final LongSupplier clock;
    private final Map<String, Endpoint> endpoints = new HashMap<>();
    private final Map<String, Long> removeAtMillis = new HashMap<>();
    private long deferRemovalsUntilMillis;

    /**
     * Creates an empty directory.
     *
     * @param clock milliseconds of the monotonic clock
     */
    public EndpointDirectory(LongSupplier clock) {
        this.clock = clock;
        this.deferRemovalsUntilMillis = clock.getAsLong();
    }

    /** Starts the grace period in which removals are deferred; called when the store answers again after an outage. */
    public void storeRecovered() {
        deferRemovalsUntilMillis = clock.getAsLong() + RENEWAL_GRACE_MILLIS;
    }

    /**
     * Replaces all entries; the missing ones are removed, or deferred as by {@link #remove}.
     *
     * @param listed the endpoints by identifier
     */
    public void replaceAll(Map<String, Endpoint> listed) {
        List.copyOf(endpoints.keySet()).stream()
                .filter(id -> !listed.containsKey(id))
                .forEach(this::remove);
        listed.values().forEach(this::put);
    }

    /**
     * Adds or replaces an entry and cancels its deferred removal.
     *
     * @param endpoint the entry
     */
    public void put(Endpoint endpoint) {
        endpoints.put(endpoint.id(), endpoint);
        removeAtMillis.remove(endpoint.id());
    }

    /**
     * Removes an entry, or defers its removal until the end of the grace period.
     *
     * @param id identifier of the endpoint
     */
    public void remove(String id) {
        if (clock.getAsLong() < deferRemovalsUntilMillis) {
            removeAtMillis.putIfAbsent(id, deferRemovalsUntilMillis);
        } else {
            endpoints.remove(id);
            removeAtMillis.remove(id);
        }
    }

    /**
     * Removes the entries whose deferred removal is due.
     *
     * @return whether an entry was removed
     */
    public boolean removeExpired() {
        long now = clock.getAsLong();
        List<String> due = removeAtMillis.entrySet().stream()
                .filter(entry -> now >= entry.getValue())
                .map(Map.Entry::getKey)
                .toList();
        due.forEach(id -> {
            endpoints.remove(id);
            removeAtMillis.remove(id);
        });
        return !due.isEmpty();
    }

    /** Returns the endpoints that may be used, including those whose removal is deferred. */
    public Collection<Endpoint> endpoints() {
        return List.copyOf(endpoints.values());
    }
}
