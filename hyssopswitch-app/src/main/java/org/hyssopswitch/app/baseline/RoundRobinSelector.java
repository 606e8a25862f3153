package org.hyssopswitch.app.baseline;

import java.util.List;
import java.util.Optional;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.position.EndpointRole;
import org.hyssopswitch.core.session.EndpointRow;
import org.hyssopswitch.core.session.EndpointSelector;
import org.hyssopswitch.core.session.EndpointTable;
import org.hyssopswitch.core.session.Selection;
import org.hyssopswitch.core.session.SelectionRequest;

/** Sends reads to the endpoints in turn and writes to the primary, regardless of floors, ages and loads. */
public final class RoundRobinSelector implements EndpointSelector {

    private static final long RETRY_MILLIS = 50;
    private static final long MAX_WAIT_MILLIS = 2_000;
    private static final long UNAVAILABLE_RETRY_MILLIS = 1_000;

    private final EndpointTable endpoints;
    private int next;

    /**
     * Creates a selector.
     *
     * @param endpoints the known endpoints
     */
    public RoundRobinSelector(EndpointTable endpoints) {
        this.endpoints = endpoints;
    }

    @Override
    public Selection select(SelectionRequest request, long nowMillis) {
        Optional<DatabaseDeclaration> database =
                endpoints.recordUse(request.route().database(), nowMillis);
        Optional<EndpointId> choice =
                database.flatMap(d -> request.route().read() ? nextEndpoint(d, request) : primary(d, request));
        if (choice.isPresent()) {
            return new Selection.Use(choice.get(), isPrimary(choice.get()));
        }
        long until = request.arrivedMillis() + MAX_WAIT_MILLIS;
        return nowMillis < until
                ? new Selection.Wait(nowMillis + RETRY_MILLIS)
                : new Selection.Unavailable(UNAVAILABLE_RETRY_MILLIS);
    }

    private Optional<EndpointId> nextEndpoint(DatabaseDeclaration database, SelectionRequest request) {
        List<EndpointId> known = database.endpoints().stream()
                .map(EndpointDeclaration::id)
                .filter(e -> !request.tried().contains(e) && endpoints.row(e).isPresent())
                .toList();
        if (known.isEmpty()) {
            return Optional.empty();
        }
        next++;
        return Optional.of(known.get(Math.floorMod(next, known.size())));
    }

    private Optional<EndpointId> primary(DatabaseDeclaration database, SelectionRequest request) {
        return endpoints.primary(database).map(r -> r.status().endpoint()).filter(e -> !request.tried()
                .contains(e));
    }

    private boolean isPrimary(EndpointId endpoint) {
        return endpoints
                .row(endpoint)
                .map(EndpointRow::status)
                .filter(s -> s.role() == EndpointRole.PRIMARY)
                .isPresent();
    }
}
