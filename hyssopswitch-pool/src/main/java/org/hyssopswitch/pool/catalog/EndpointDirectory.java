package org.hyssopswitch.pool.catalog;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * The listed endpoints, with removals held back after an outage of the store.
 *
 * <p>Entries lapse while endpoints cannot renew them, and return shortly after the store does. An entry that is missing
 * right after an outage is therefore kept for a short time.
 */
public final class EndpointDirectory {

    /** Time in which living endpoints renew their entries after the store's return, milliseconds, with a margin. */
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

    /** The store has answered after an outage. */
    public void storeRecovered() {
        deferRemovalsUntilMillis = clock.getAsLong() + RENEWAL_GRACE_MILLIS;
    }

    /**
     * Takes the whole list.
     *
     * @param listed the endpoints
     */
    public void replaceAll(Map<String, Endpoint> listed) {
        List.copyOf(endpoints.keySet()).stream()
                .filter(id -> !listed.containsKey(id))
                .forEach(this::remove);
        listed.values().forEach(this::put);
    }

    /**
     * Takes a new or changed entry.
     *
     * @param endpoint the entry
     */
    public void put(Endpoint endpoint) {
        endpoints.put(endpoint.id(), endpoint);
        removeAtMillis.remove(endpoint.id());
    }

    /**
     * Takes the removal of an entry.
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
     * Removes entries whose time has come.
     *
     * @return whether any was removed
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

    /** The endpoints that may be used. */
    public Collection<Endpoint> endpoints() {
        return List.copyOf(endpoints.values());
    }
}
