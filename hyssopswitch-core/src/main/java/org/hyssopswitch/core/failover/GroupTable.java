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

/**
 * Holds the last report about every endpoint of the groups in which this VM is the home of an endpoint. Confined to the
 * decision thread.
 */
public final class GroupTable {

    private final Map<EndpointId, GroupRow> rows = new HashMap<>();

    /** Creates an empty table. */
    public GroupTable() {}

    /**
     * Stores a report unless a report of the endpoint with a higher term is stored already.
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
     * Returns the row of an endpoint, or empty if no report has arrived.
     *
     * @param endpoint the endpoint
     */
    public Optional<GroupRow> row(EndpointId endpoint) {
        return Optional.ofNullable(rows.get(endpoint));
    }

    /**
     * Returns the rows of the endpoints of a group for which a report has arrived.
     *
     * @param database the group
     */
    public List<GroupRow> rows(DatabaseDeclaration database) {
        return database.endpoints().stream().flatMap(e -> row(e.id()).stream()).toList();
    }

    /**
     * Returns the primary of the highest known term.
     *
     * @param database the group
     */
    public Optional<GroupRow> primary(DatabaseDeclaration database) {
        return rows(database).stream().filter(GroupRow::isPrimary).max(Comparator.comparingLong(r -> r.status()
                .acceptedTerm()));
    }

    /**
     * Returns the highest term that any endpoint of a group is known to have accepted, or 0 if none is known.
     *
     * @param database the group
     */
    public long highestTerm(DatabaseDeclaration database) {
        return rows(database).stream()
                .mapToLong(r -> r.status().acceptedTerm())
                .max()
                .orElse(0);
    }

    /** Removes the rows of all endpoints except the given ones. */
    void retain(Set<EndpointId> endpoints) {
        rows.keySet().retainAll(endpoints);
    }
}
