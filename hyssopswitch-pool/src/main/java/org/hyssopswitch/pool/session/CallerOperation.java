package org.hyssopswitch.pool.session;

import io.vavr.control.Option;
import java.util.HashSet;
import java.util.Set;
import org.hyssopswitch.core.admission.AdmissionPermit;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.catalog.Route;
import org.hyssopswitch.pool.endpoint.ConnectionRequest;
import org.hyssopswitch.pool.statement.StatementOutcome;

/** Common part of autocommit statements and transactions, which wait for an endpoint. */
abstract class CallerOperation implements ConnectionRequest {

    /** Fraction of the latency objective for which an operation waits when no endpoint can run it. */
    private static final double UNSERVABLE_WAIT_RATIO = 0.2;

    private final Set<String> excludedEndpoints = new HashSet<>();
    private final CallerSession session;
    private final Authorization authorization;
    private final AdmissionPermit permit;
    private final boolean primaryOnly;
    private long assignBeforeMillis;

    CallerOperation(CallerSession session, Authorization authorization, AdmissionPermit permit, boolean primaryOnly) {
        this.permit = permit;
        this.session = session;
        this.authorization = authorization;
        this.primaryOnly = primaryOnly || !route().allowsReplicaReads();
    }

    @Override
    public final Account account() {
        return authorization.account();
    }

    @Override
    public final int priority() {
        return route().priority();
    }

    @Override
    public final boolean primaryOnly() {
        return primaryOnly;
    }

    @Override
    public final long stalenessMillis() {
        return route().stalenessMillis();
    }

    @Override
    public final LogPosition sessionFloor() {
        return session.floor();
    }

    @Override
    public final long assignmentDeadlineMillis() {
        return assignBeforeMillis;
    }

    @Override
    public final long unavailableWaitMillis() {
        return Math.round(route().objectiveMillis() * UNSERVABLE_WAIT_RATIO);
    }

    @Override
    public final boolean excludes(String endpointId) {
        return excludedEndpoints.contains(endpointId);
    }

    final CallerSession session() {
        return session;
    }

    final Route route() {
        return authorization.route();
    }

    /** Returns why the operation may not go on under the current configuration; nothing if it may. */
    final Option<StatementOutcome.Failed> revocation() {
        return session.revocation(authorization);
    }

    final void exclude(String endpointId) {
        excludedEndpoints.add(endpointId);
    }

    /** Gives the token of the operation back, of which nothing was sent to an endpoint. */
    final void giveBackToken() {
        permit.giveBack(session.nowMillis());
    }

    /** Queues the operation for an endpoint; it is refused if none is assigned within latency objective and timeout. */
    final void submit() {
        long maxWaitMillis = Math.min(route().timeoutMillis(), route().objectiveMillis());
        assignBeforeMillis = session.nowMillis() + maxWaitMillis;
        session.submit(this);
    }

    /** Enforces the operation's time limits; called every few milliseconds. */
    abstract void tick(long nowMillis);

    /** Abandons the operation because its caller disconnected. */
    abstract void abandon();
}
