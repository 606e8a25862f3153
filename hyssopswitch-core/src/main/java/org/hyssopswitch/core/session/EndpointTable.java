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
 * Statuses and loads of the endpoints that this VM is home to or sends statements to. Confined to the decision thread.
 *
 * <p>Endpoints of databases that exceed the idle timeout are evicted, so that the table grows with the databases in use
 * and not with the number of declared databases.
 */
public final class EndpointTable {

    private static final long DATABASE_IDLE_TIMEOUT_MILLIS = 60_000;

    private final Map<EndpointId, EndpointRow> rows = new HashMap<>();
    private final Map<EndpointId, DatabaseId> databasesByEndpoint = new HashMap<>();
    private final Map<DatabaseId, Long> lastUsedMillis = new HashMap<>();
    private Configuration configuration = Configuration.EMPTY;

    /**
     * Applies a configuration and removes endpoints that it does not declare.
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
     * Returns the declaration of a database and marks the database as used; empty when it is not declared.
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
     * Whether a database was used within the idle timeout.
     *
     * @param database the database
     */
    public boolean isUsed(DatabaseId database) {
        return lastUsedMillis.containsKey(database);
    }

    /** Returns the databases used within the idle timeout, ordered by name. */
    public Set<DatabaseId> usedDatabases() {
        return new TreeSet<>(lastUsedMillis.keySet());
    }

    /**
     * Returns the declared endpoints of a database; empty when the database is not declared.
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
     * Returns the declaration of the database that an endpoint belongs to.
     *
     * @param endpoint the endpoint
     */
    public Optional<DatabaseDeclaration> databaseOf(EndpointId endpoint) {
        return Optional.ofNullable(databasesByEndpoint.get(endpoint)).flatMap(configuration::database);
    }

    /**
     * Returns the declaration of an endpoint.
     *
     * @param endpoint the endpoint
     */
    public Optional<EndpointDeclaration> declaration(EndpointId endpoint) {
        return databaseOf(endpoint).flatMap(d -> d.endpoints().stream()
                .filter(e -> e.id().equals(endpoint))
                .findFirst());
    }

    /**
     * Stores a hint, unless it is older than the known status or the endpoint is not declared.
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
     * Advances the applied position of an endpoint to one that it reported with a response. Ignored unless the position
     * is a later one of the term in which the endpoint's applied position is known.
     *
     * @param endpoint the endpoint
     * @param applied the reported position
     */
    public void observeApplied(EndpointId endpoint, LogPosition applied) {
        rows.computeIfPresent(endpoint, (id, row) -> withAppliedPosition(row, applied));
    }

    /**
     * Adds one statement to the load of an endpoint; the next hint overwrites the estimate.
     *
     * @param endpoint the endpoint
     */
    public void addLoad(EndpointId endpoint) {
        rows.computeIfPresent(endpoint, (id, row) -> row.withIncrementedLoad());
    }

    /**
     * Returns the row of an endpoint; empty when no hint is stored for it.
     *
     * @param endpoint the endpoint
     */
    public Optional<EndpointRow> row(EndpointId endpoint) {
        return Optional.ofNullable(rows.get(endpoint));
    }

    /**
     * Returns the primary of the highest known term, unless a majority of the group is known to have accepted a higher
     * term: such a majority does not confirm the primary's writes.
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
     * Returns the primary that has replaced an endpoint: a primary of a higher term than the one in which the endpoint
     * was last known as primary.
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
     * Returns the time since a primary was last known to be the primary of its group, in milliseconds: the age of the
     * most recent time at which a majority, itself included, was in contact with it in its term;
     * {@link Long#MAX_VALUE} when no majority is known to have been.
     *
     * @param database the database that the group serves
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
     * Evicts databases that have exceeded the idle timeout, and rows of idle databases whose status is as old.
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

    /** Returns the number of endpoints in the table. */
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
