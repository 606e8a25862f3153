package org.hyssopswitch.standin.group;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.hyssopswitch.core.identity.EndpointId;

/** The faults in force. Confined to the thread of the group. */
final class FaultTable {

    static final String EVERY_CLIENT = "*";

    private final Map<EndpointId, Integer> sides = new HashMap<>();
    private final Map<EndpointId, Set<String>> cutClients = new HashMap<>();
    private final Set<EndpointId> frozen = new HashSet<>();
    private final Map<EndpointId, Long> lagMillis = new HashMap<>();
    private final Map<EndpointId, Long> slowMillis = new HashMap<>();
    private final Map<EndpointId, Long> serviceMicros = new HashMap<>();
    private final Map<EndpointId, Repetition> repetitions = new HashMap<>();
    private final GroupSettings settings;

    FaultTable(GroupSettings settings) {
        this.settings = settings;
    }

    /** Endpoints of different sets cannot reach each other; those in no set form one more. */
    void partition(List<Set<EndpointId>> sets) {
        sides.clear();
        for (int i = 0; i < sets.size(); i++) {
            for (EndpointId endpoint : sets.get(i)) {
                sides.put(endpoint, i + 1);
            }
        }
    }

    boolean connected(EndpointId a, EndpointId b) {
        return sides.getOrDefault(a, 0).equals(sides.getOrDefault(b, 0));
    }

    void cutClient(EndpointId endpoint, String prefix) {
        cutClients.computeIfAbsent(endpoint, k -> new HashSet<>()).add(prefix);
    }

    void healClients() {
        cutClients.clear();
    }

    boolean cut(EndpointId endpoint, String applicationName) {
        return cutClients.getOrDefault(endpoint, Set.of()).stream()
                .anyMatch(p -> p.equals(EVERY_CLIENT) || applicationName.startsWith(p));
    }

    void freeze(EndpointId endpoint, boolean on) {
        if (on) {
            frozen.add(endpoint);
        } else {
            frozen.remove(endpoint);
        }
    }

    boolean frozen(EndpointId endpoint) {
        return frozen.contains(endpoint);
    }

    void setLagMillis(EndpointId endpoint, long millis) {
        lagMillis.put(endpoint, millis);
    }

    long lagMillis(EndpointId endpoint) {
        return lagMillis.getOrDefault(endpoint, settings.lagMillis());
    }

    void setSlowMillis(EndpointId endpoint, long millis) {
        slowMillis.put(endpoint, millis);
    }

    long slowMillis(EndpointId endpoint) {
        return slowMillis.getOrDefault(endpoint, 0L);
    }

    void setServiceMicros(EndpointId endpoint, long micros) {
        serviceMicros.put(endpoint, micros);
    }

    long serviceMicros(EndpointId endpoint) {
        return serviceMicros.getOrDefault(endpoint, settings.serviceMicros());
    }

    void repeatAnswers(EndpointId endpoint, int count, long lateMillis) {
        repetitions.put(endpoint, new Repetition(count, lateMillis));
    }

    /** Takes the delay after which the next answer is sent again; empty if it is sent once. */
    OptionalLong takeRepetition(EndpointId endpoint) {
        Repetition left = repetitions.get(endpoint);
        if (left == null || left.count() == 0) {
            return OptionalLong.empty();
        }
        repetitions.put(endpoint, new Repetition(left.count() - 1, left.lateMillis()));
        return OptionalLong.of(left.lateMillis());
    }

    private record Repetition(int count, long lateMillis) {}
}
