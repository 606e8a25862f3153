package org.hyssopswitch.core.session;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.position.EndpointRole;

/**
 * Selects the primary of the highest known term for writes and for reads that accept no staleness, and a replica for
 * other reads: one that has applied the session's floor and whose data age is within the route's maximum.
 *
 * <p>A read without an eligible replica waits up to {@link SelectionTimeouts#replicaMillis()} for one and then goes to
 * the primary. There it needs confirmation by a majority, unless a majority was in contact with the primary within the
 * route's maximum age. Among eligible replicas the one with the lowest load is selected; a replica in another data
 * centre counts as more loaded by a fixed penalty.
 */
public final class DefaultEndpointSelector implements EndpointSelector {

    private static final int REMOTE_DATA_CENTRE_PENALTY_STATEMENTS = 2;
    private static final long UNAVAILABLE_RETRY_MILLIS = 1_000;

    private final EndpointTable table;
    private final DataCentreId dataCentre;
    private final SelectionTimeouts timeouts;
    private final RandomGenerator random;

    /**
     * Creates a selector.
     *
     * @param table statuses and loads of the known endpoints
     * @param dataCentre the data centre of this VM
     * @param timeouts how long statements wait for an eligible endpoint
     * @param random breaks ties between endpoints of equal cost
     */
    public DefaultEndpointSelector(
            EndpointTable table, DataCentreId dataCentre, SelectionTimeouts timeouts, RandomGenerator random) {
        this.table = table;
        this.dataCentre = dataCentre;
        this.timeouts = timeouts;
        this.random = random;
    }

    @Override
    public Selection select(SelectionRequest request, long nowMillis) {
        Optional<DatabaseDeclaration> database = table.recordUse(request.route().database(), nowMillis);
        if (database.isEmpty()) {
            return new Selection.Unavailable(UNAVAILABLE_RETRY_MILLIS);
        }
        if (!request.route().read() || request.route().maxAgeMillis() == 0) {
            return selectPrimaryOrWait(request, database.get(), nowMillis);
        }
        return selectReplica(request, database.get(), nowMillis)
                .orElseGet(() -> waitForReplicaOrSelectPrimary(request, database.get(), nowMillis));
    }

    private Selection waitForReplicaOrSelectPrimary(
            SelectionRequest request, DatabaseDeclaration database, long nowMillis) {
        long deadlineMillis = request.arrivedMillis() + timeouts.replicaMillis();
        if (nowMillis < deadlineMillis && canCatchUp(request, database, nowMillis)) {
            return new Selection.Wait(Math.min(deadlineMillis, nowMillis + timeouts.retryIntervalMillis()));
        }
        return selectPrimaryOrWait(request, database, nowMillis);
    }

    private Selection selectPrimaryOrWait(SelectionRequest request, DatabaseDeclaration database, long nowMillis) {
        Optional<EndpointRow> primary = table.primary(database)
                .filter(row -> row.status().acceptedTerm() >= request.floor().term())
                .filter(row -> isEligiblePrimary(request, database, row.status().endpoint()));
        if (primary.isPresent()) {
            long age = table.primaryAgeMillis(database, primary.get(), nowMillis);
            EndpointId id = primary.get().status().endpoint();
            long accepted = request.route().maxAgeMillis();
            return recordSelection(new Selection.Use(id, true, accepted == 0 || age > accepted));
        }
        long deadlineMillis = request.arrivedMillis() + timeouts.primaryMillis();
        return nowMillis < deadlineMillis
                ? new Selection.Wait(Math.min(deadlineMillis, nowMillis + timeouts.retryIntervalMillis()))
                : new Selection.Unavailable(UNAVAILABLE_RETRY_MILLIS);
    }

    private Optional<Selection> selectReplica(SelectionRequest request, DatabaseDeclaration database, long nowMillis) {
        List<EndpointDeclaration> eligible = database.endpoints().stream()
                .filter(e -> table.row(e.id())
                        .filter(row -> isEligibleReplica(request, e, row) && satisfies(request, row, nowMillis))
                        .isPresent())
                .toList();
        if (eligible.isEmpty()) {
            return Optional.empty();
        }
        int lowest = eligible.stream().mapToInt(this::cost).min().orElseThrow();
        List<EndpointDeclaration> best =
                eligible.stream().filter(e -> cost(e) == lowest).toList();
        EndpointId chosen = best.get(random.nextInt(best.size())).id();
        return Optional.of(recordSelection(new Selection.Use(chosen, false)));
    }

    /** Whether some replica's data is recent enough that it may apply the floor before the wait for a replica ends. */
    private boolean canCatchUp(SelectionRequest request, DatabaseDeclaration database, long nowMillis) {
        return database.endpoints().stream()
                .flatMap(e -> table.row(e.id()).filter(r -> isEligibleReplica(request, e, r)).stream())
                .map(row -> row.dataAgeMillis(nowMillis))
                .min(Comparator.naturalOrder())
                .filter(age -> age <= request.route().maxAgeMillis())
                .isPresent();
    }

    private static boolean isEligibleReplica(SelectionRequest request, EndpointDeclaration endpoint, EndpointRow row) {
        return !endpoint.leaving()
                && row.status().role() != EndpointRole.PRIMARY
                && !request.tried().contains(endpoint.id());
    }

    private static boolean satisfies(SelectionRequest request, EndpointRow row, long nowMillis) {
        return row.status().covers(request.floor())
                && row.dataAgeMillis(nowMillis) <= request.route().maxAgeMillis();
    }

    private static boolean isEligiblePrimary(
            SelectionRequest request, DatabaseDeclaration database, EndpointId endpoint) {
        return !request.tried().contains(endpoint)
                && database.endpoints().stream().noneMatch(e -> e.id().equals(endpoint) && e.leaving());
    }

    private int cost(EndpointDeclaration endpoint) {
        int load = table.row(endpoint.id()).map(EndpointRow::load).orElse(0);
        return endpoint.dataCentre().equals(dataCentre) ? load : load + REMOTE_DATA_CENTRE_PENALTY_STATEMENTS;
    }

    private Selection recordSelection(Selection.Use selection) {
        table.addLoad(selection.endpoint());
        return selection;
    }
}
