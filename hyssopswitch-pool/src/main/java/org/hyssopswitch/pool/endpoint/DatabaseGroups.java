package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.catalog.Catalog;
import org.hyssopswitch.pool.catalog.Endpoint;
import org.hyssopswitch.proxy.net.GuardedTaskUtils;

/** The database groups of the configuration in force. */
public final class DatabaseGroups {

    private final GroupContext context;
    private final Map<String, DatabaseGroup> groups = new HashMap<>();

    /**
     * Creates an empty set of groups.
     *
     * @param context dependencies that all groups share
     */
    public DatabaseGroups(GroupContext context) {
        this.context = context;
    }

    /**
     * Applies a new configuration or list of endpoints.
     *
     * @param catalog the configuration in force
     * @param endpoints the endpoints that may be used
     * @param vms number of VMs that share the endpoints' connections
     */
    public void update(Catalog catalog, Collection<Endpoint> endpoints, int vms) {
        int accounts = (int) catalog.accounts().values().stream()
                .map(Account::name)
                .distinct()
                .count();
        SharerCounts sharers = new SharerCounts(vms, accounts);
        catalog.groups().values().forEach(declared -> groups.computeIfAbsent(
                        declared.name(), name -> new DatabaseGroup(declared, context))
                .update(declared, sharers, members(endpoints, declared.name())));
        for (String name : List.copyOf(groups.keySet())) {
            if (!catalog.groups().containsKey(name)) {
                DatabaseGroup removed = groups.remove(name);
                removed.update(removed.declaration(), sharers, List.of());
            }
        }
    }

    /**
     * Returns a group, if it is in the configuration.
     *
     * @param name name of the group
     */
    public Option<DatabaseGroup> find(String name) {
        return Option.of(groups.get(name));
    }

    /** Whether VMs borrow connections to a group, because its endpoints accept too few for all of them. */
    public boolean scarce() {
        return groups.values().stream().anyMatch(DatabaseGroup::scarce);
    }

    /** Returns all groups. */
    public Collection<DatabaseGroup> all() {
        return List.copyOf(groups.values());
    }

    /** Keeps no idle connections from now on, because this VM stops and other VMs need them. */
    public void stop() {
        all().forEach(DatabaseGroup::stop);
    }

    /** Refuses expired requests and maintains the connections of all groups; called every few milliseconds. */
    public void tick() {
        GuardedTaskUtils.forEach("group_tick", groups.values(), DatabaseGroup::tick);
    }

    private static List<Endpoint> members(Collection<Endpoint> endpoints, String group) {
        return endpoints.stream()
                .filter(endpoint -> endpoint.group().equals(group))
                .toList();
    }
}
