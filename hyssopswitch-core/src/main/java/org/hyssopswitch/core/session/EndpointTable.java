package org.hyssopswitch.core.session;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.position.EndpointRole;
import org.hyssopswitch.core.position.EndpointStatus;
import org.hyssopswitch.core.position.LogPosition;

/**
 * Statuses of the endpoints that this VM is home to or sends statements to. Confined to the decision thread.
 *
 * <p>Endpoints of databases that nobody has used for a while are forgotten, so that the table does not grow with the
 * number of declared databases.
 */
public final class EndpointTable {

    private static final long DATABASE_IDLE_TIMEOUT_MILLIS = 60_000;

    private final Map<EndpointId, EndpointRow> rows = new HashMap<>();
    private final Map<EndpointId, DatabaseId> databasesByEndpoint = new HashMap<>();
    private final Map<DatabaseId, Long> lastUsedMillis = new HashMap<>();
    private Configuration configuration = Configuration.EMPTY;

    /**
     * Takes a configuration into force and forgets endpoints that it does not declare.
     *
     * @param next the configuration
     */
    public void configure(Configuration next) {
        configuration = next;
        databasesByEndpoint.clear();
        next.databases().values().forEach(d -> d.endpoints().forEach(e -> databasesByEndpoint.put(e.id(), d.id())));
        rows.keySet().retainAll(databasesByEndpoint.keySet());
    }

    /**
     * Finds a declared database and marks it as used.
     *
     * @param database the database
     * @param nowMillis milliseconds of the monotonic clock
     */
    public Optional<DatabaseDeclaration> recordUse(DatabaseId database, long nowMillis) {
        Optional<DatabaseDeclaration> found = configuration.database(database);
        found.ifPresent(d -> lastUsedMillis.put(d.id(), nowMillis));
        return found;
    }

    /**
     * Whether a database was used of late.
     *
     * @param database the database
     */
    public boolean isUsed(DatabaseId database) {
        return lastUsedMillis.containsKey(database);
    }

    /** The databases used of late, in order of their names. */
    public Set<DatabaseId> usedDatabases() {
        return new TreeSet<>(lastUsedMillis.keySet());
    }

    /**
     * The declared endpoints of a database; empty when the database is not declared.
     *
     * @param database the database
     */
    public List<EndpointDeclaration> declaredEndpoints(DatabaseId database) {
        return configuration
                .database(database)
                .map(DatabaseDeclaration::endpoints)
                .orElse(List.of());
    }

    /**
     * Finds the declaration of the database that an endpoint belongs to.
     *
     * @param endpoint the endpoint
     */
    public Optional<DatabaseDeclaration> databaseOf(EndpointId endpoint) {
        return Optional.ofNullable(databasesByEndpoint.get(endpoint)).flatMap(configuration::database);
    }

    /**
     * Finds the declaration of an endpoint.
     *
     * @param endpoint the endpoint
     */
    public Optional<EndpointDeclaration> declaration(EndpointId endpoint) {
        return databaseOf(endpoint).flatMap(d -> d.endpoints().stream()
                .filter(e -> e.id().equals(endpoint))
                .findFirst());
    }

    /**
     * Takes a hint, unless it is older than what is known or the endpoint is not declared.
     *
     * @param hint the hint
     * @param nowMillis milliseconds of the monotonic clock
     */
    public void observe(EndpointHint hint, long nowMillis) {
        EndpointStatus status = hint.status();
        long measured = nowMillis - hint.ageMillis();
        EndpointRow row = rows.get(status.endpoint());
        if (databasesByEndpoint.containsKey(status.endpoint())
                && (row == null || row.isSupersededBy(status, measured))) {
            rows.put(status.endpoint(), new EndpointRow(status, measured, hint.load()));
        }
    }

    /**
     * Takes a position that an endpoint reported with an answer; ignored unless it is later in the term that is
     * already known of the endpoint.
     *
     * @param endpoint the endpoint
     * @param applied the position
     */
    public void observeApplied(EndpointId endpoint, LogPosition applied) {
        rows.computeIfPresent(endpoint, (id, row) -> withAppliedPosition(row, applied));
    }

    /**
     * Counts a statement that is sent to an endpoint until its next hint arrives.
     *
     * @param endpoint the endpoint
     */
    public void addLoad(EndpointId endpoint) {
        rows.computeIfPresent(endpoint, (id, row) -> row.withIncrementedLoad());
    }

    /**
     * Finds the row of an endpoint.
     *
     * @param endpoint the endpoint
     */
    public Optional<EndpointRow> row(EndpointId endpoint) {
        return Optional.ofNullable(rows.get(endpoint));
    }

    /**
     * Finds the primary of the highest known term, unless a majority of the group is known to have accepted a higher
     * term and therefore refuses to confirm its writes.
     *
     * @param database the database
     */
    public Optional<EndpointRow> primary(DatabaseDeclaration database) {
        Optional<EndpointRow> primary = database.endpoints().stream()
                .flatMap(e -> row(e.id()).stream())
                .filter(r -> r.status().role() == EndpointRole.PRIMARY)
                .max(Comparator.comparingLong(r -> r.status().acceptedTerm()));
        return primary.filter(p -> countEndpointsAbove(database, p.status().acceptedTerm()) < database.majority());
    }

    /**
     * Finds the primary that has replaced an endpoint: it is primary in a higher term than the one in which the
     * endpoint is last known to have been primary.
     *
     * @param endpoint the endpoint
     */
    public Optional<EndpointId> successor(EndpointId endpoint) {
        Optional<EndpointStatus> replaced =
                row(endpoint).map(EndpointRow::status).filter(s -> s.role() == EndpointRole.PRIMARY);
        return databaseOf(endpoint)
                .flatMap(this::primary)
                .map(EndpointRow::status)
                .filter(p -> replaced.filter(r -> r.acceptedTerm() < p.acceptedTerm())
                        .isPresent())
                .map(EndpointStatus::endpoint);
    }

    /**
     * Milliseconds since a primary is known to have been the primary of its group: as long ago as a majority was last
     * in contact with it in its term.
     *
     * @param database the group
     * @param primary the row of the primary
     * @param nowMillis milliseconds of the monotonic clock
     */
    public long primaryAgeMillis(DatabaseDeclaration database, EndpointRow primary, long nowMillis) {
        return database.endpoints().stream()
                .flatMap(e -> row(e.id()).stream())
                .filter(r -> r.status().role() == EndpointRole.REPLICA
                        && r.status().acceptedTerm() == primary.status().acceptedTerm())
                .map(r -> r.status().contactAgeMillis() + Math.max(0, nowMillis - r.measuredMillis()))
                .sorted()
                .skip(Math.max(0, database.majority() - 2))
                .findFirst()
                .orElse(Long.MAX_VALUE);
    }

    /**
     * Forgets databases that have not been used of late.
     *
     * @param nowMillis milliseconds of the monotonic clock
     */
    public void expire(long nowMillis) {
        if (lastUsedMillis.values().removeIf(used -> nowMillis - used > DATABASE_IDLE_TIMEOUT_MILLIS)) {
            rows.entrySet()
                    .removeIf(e -> !lastUsedMillis.containsKey(databasesByEndpoint.get(e.getKey()))
                            && nowMillis - e.getValue().measuredMillis() > DATABASE_IDLE_TIMEOUT_MILLIS);
        }
    }

    /** The number of endpoints in the table. */
    public int size() {
        return rows.size();
    }

    private long countEndpointsAbove(DatabaseDeclaration database, long term) {
        return database.endpoints().stream()
                .flatMap(e -> row(e.id()).stream())
                .filter(r -> r.status().acceptedTerm() > term)
                .count();
    }

    private static EndpointRow withAppliedPosition(EndpointRow row, LogPosition applied) {
        EndpointStatus old = row.status();
        if (applied.term() != old.applied().term() || applied.compareTo(old.applied()) <= 0) {
            return row;
        }
        EndpointStatus status = new EndpointStatus(
                old.endpoint(),
                old.role(),
                old.acceptedTerm(),
                applied,
                old.termStart(),
                old.contactAgeMillis(),
                old.dataAgeMillis());
        return new EndpointRow(status, row.measuredMillis(), row.load());
    }
}
