package org.hyssopswitch.core.failover;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.position.EndpointStatus;

/** The last report about every endpoint of the groups that this VM is a home of. Confined to the decision thread. */
public final class GroupTable {

    private final Map<EndpointId, GroupRow> rows = new HashMap<>();

    /** Creates an empty table. */
    public GroupTable() {}

    /**
     * Takes a report unless the endpoint is already known in a higher term.
     *
     * @param report the report
     * @param nowMillis milliseconds of the monotonic clock
     */
    public void update(GroupReport report, long nowMillis) {
        EndpointStatus status = report.hint().status();
        GroupRow old = rows.get(status.endpoint());
        if (old != null && old.status().acceptedTerm() > status.acceptedTerm()) {
            return;
        }
        long since = old != null && old.hasSameRoleAndTerm(status) ? old.roleSinceMillis() : nowMillis;
        rows.put(status.endpoint(), new GroupRow(status, report.unresponsiveMillis(), nowMillis, since));
    }

    /**
     * Finds the row of an endpoint.
     *
     * @param endpoint the endpoint
     */
    public Optional<GroupRow> row(EndpointId endpoint) {
        return Optional.ofNullable(rows.get(endpoint));
    }

    /**
     * The known rows of a group.
     *
     * @param database the group
     */
    public List<GroupRow> rows(DatabaseDeclaration database) {
        return database.endpoints().stream().flatMap(e -> row(e.id()).stream()).toList();
    }

    /**
     * The primary of the highest known term.
     *
     * @param database the group
     */
    public Optional<GroupRow> primary(DatabaseDeclaration database) {
        return rows(database).stream().filter(GroupRow::isPrimary).max(Comparator.comparingLong(r -> r.status()
                .acceptedTerm()));
    }

    /**
     * The highest term that any endpoint of a group is known to have accepted.
     *
     * @param database the group
     */
    public long highestTerm(DatabaseDeclaration database) {
        return rows(database).stream()
                .mapToLong(r -> r.status().acceptedTerm())
                .max()
                .orElse(0);
    }

    /** Forgets all endpoints but the given ones. */
    void retain(Set<EndpointId> endpoints) {
        rows.keySet().retainAll(endpoints);
    }
}
