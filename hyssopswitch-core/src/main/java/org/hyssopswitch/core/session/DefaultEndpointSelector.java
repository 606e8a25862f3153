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
 * Sends writes and latest reads to the primary of the highest known term, and other reads to a replica that covers the
 * session's floor and is recent enough.
 *
 * <p>A read without a fitting replica waits briefly for one and then goes to the primary, where it needs a
 * confirmation unless a majority was in contact with the primary within the accepted age. Among fitting replicas the
 * least loaded is chosen, and one of the own data centre when the loads are close.
 */
public final class DefaultEndpointSelector implements EndpointSelector {

    private static final int REMOTE_COST_STATEMENTS = 2;
    private static final long UNAVAILABLE_RETRY_MILLIS = 1_000;

    private final EndpointTable table;
    private final DataCentreId dataCentre;
    private final SelectionTimeouts waits;
    private final RandomGenerator random;

    /**
     * Creates a selector.
     *
     * @param table the known endpoints
     * @param dataCentre the data centre of this VM
     * @param waits how long to wait
     * @param random breaks ties between equal endpoints
     */
    public DefaultEndpointSelector(
            EndpointTable table, DataCentreId dataCentre, SelectionTimeouts waits, RandomGenerator random) {
        this.table = table;
        this.dataCentre = dataCentre;
        this.waits = waits;
        this.random = random;
    }

    @Override
    public Selection select(SelectionRequest request, long nowMillis) {
        Optional<DatabaseDeclaration> database = table.recordUse(request.route().database(), nowMillis);
        if (database.isEmpty()) {
            return new Selection.Unavailable(UNAVAILABLE_RETRY_MILLIS);
        }
        if (!request.route().read() || request.route().maxAgeMillis() == 0) {
            return primaryOrWait(request, database.get(), nowMillis);
        }
        return replica(request, database.get(), nowMillis)
                .orElseGet(() -> withoutReplica(request, database.get(), nowMillis));
    }

    private Selection withoutReplica(SelectionRequest request, DatabaseDeclaration database, long nowMillis) {
        long until = request.arrivedMillis() + waits.replicaMillis();
        if (nowMillis < until && canCatchUp(request, database, nowMillis)) {
            return new Selection.Wait(Math.min(until, nowMillis + waits.retryMillis()));
        }
        return primaryOrWait(request, database, nowMillis);
    }

    private Selection primaryOrWait(SelectionRequest request, DatabaseDeclaration database, long nowMillis) {
        Optional<EndpointRow> primary = table.primary(database)
                .filter(row -> row.status().acceptedTerm() >= request.floor().term())
                .filter(row -> isEligible(request, database, row.status().endpoint()));
        if (primary.isPresent()) {
            long age = table.primaryAgeMillis(database, primary.get(), nowMillis);
            EndpointId id = primary.get().status().endpoint();
            long accepted = request.route().maxAgeMillis();
            return use(new Selection.Use(id, true, accepted == 0 || age > accepted));
        }
        long until = request.arrivedMillis() + waits.primaryMillis();
        return nowMillis < until
                ? new Selection.Wait(Math.min(until, nowMillis + waits.retryMillis()))
                : new Selection.Unavailable(UNAVAILABLE_RETRY_MILLIS);
    }

    private Optional<Selection> replica(SelectionRequest request, DatabaseDeclaration database, long nowMillis) {
        List<EndpointDeclaration> fitting = database.endpoints().stream()
                .filter(e -> table.row(e.id())
                        .filter(row -> isUsable(request, e, row) && fits(request, row, nowMillis))
                        .isPresent())
                .toList();
        if (fitting.isEmpty()) {
            return Optional.empty();
        }
        int lowest = fitting.stream().mapToInt(this::cost).min().orElseThrow();
        List<EndpointDeclaration> best =
                fitting.stream().filter(e -> cost(e) == lowest).toList();
        EndpointId chosen = best.get(random.nextInt(best.size())).id();
        return Optional.of(use(new Selection.Use(chosen, false)));
    }

    /** Whether some replica is behind the floor by little enough that a brief wait may do. */
    private boolean canCatchUp(SelectionRequest request, DatabaseDeclaration database, long nowMillis) {
        return database.endpoints().stream()
                .flatMap(e -> table.row(e.id()).filter(r -> isUsable(request, e, r)).stream())
                .map(row -> row.dataAgeMillis(nowMillis))
                .min(Comparator.naturalOrder())
                .filter(age -> age <= request.route().maxAgeMillis())
                .isPresent();
    }

    private static boolean isUsable(SelectionRequest request, EndpointDeclaration endpoint, EndpointRow row) {
        return !endpoint.leaving()
                && row.status().role() != EndpointRole.PRIMARY
                && !request.tried().contains(endpoint.id());
    }

    private static boolean fits(SelectionRequest request, EndpointRow row, long nowMillis) {
        return row.status().covers(request.floor())
                && row.dataAgeMillis(nowMillis) <= request.route().maxAgeMillis();
    }

    private static boolean isEligible(SelectionRequest request, DatabaseDeclaration database, EndpointId endpoint) {
        return !request.tried().contains(endpoint)
                && database.endpoints().stream().noneMatch(e -> e.id().equals(endpoint) && e.leaving());
    }

    private int cost(EndpointDeclaration endpoint) {
        int load = table.row(endpoint.id()).map(EndpointRow::load).orElse(0);
        return endpoint.dataCentre().equals(dataCentre) ? load : load + REMOTE_COST_STATEMENTS;
    }

    private Selection use(Selection.Use use) {
        table.addLoad(use.endpoint());
        return use;
    }
}
