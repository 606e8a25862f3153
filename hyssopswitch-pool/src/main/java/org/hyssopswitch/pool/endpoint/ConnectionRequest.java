package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.statement.ErrorCode;

/** A request for a connection to an endpoint, made by a statement, a transaction, a borrower or the VM itself. */
public interface ConnectionRequest {

    /** Returns the client account that it is made for. */
    Account account();

    /** Returns the priority; lower values are served first, and statements have 0 or more. */
    int priority();

    /** Whether only the primary may serve it. */
    boolean primaryOnly();

    /** Returns the only endpoint that may serve it, if any; no floor applies then, and no connection is borrowed. */
    default Option<String> pinnedTo() {
        return Option.none();
    }

    /** Whether a connection of any client account may serve it. */
    default boolean acceptsAnyAccount() {
        return false;
    }

    /** Returns the accepted staleness of its reads, milliseconds. */
    long stalenessMillis();

    /** Returns the session's floor, the log position that its reads must see regardless of staleness. */
    LogPosition sessionFloor();

    /** Returns the time by which a connection must be assigned, or it is refused; monotonic clock, milliseconds. */
    long assignmentDeadlineMillis();

    /** Returns the time after the loss of the primary for which it waits for a new one, milliseconds. */
    long unavailableWaitMillis();

    /**
     * Whether an endpoint must not serve it, because it failed to do so before.
     *
     * @param endpointId the endpoint
     */
    boolean excludes(String endpointId);

    /**
     * A connection was assigned to the request, which must release or discard it.
     *
     * @param connection the connection
     * @param floor lowest log position that reads must see; none if the endpoint must confirm that it is the primary
     */
    void assigned(PooledConnection connection, Option<LogPosition> floor);

    /**
     * The request was refused; no connection will be assigned.
     *
     * @param code the cause
     * @param reason one-line message for the caller
     */
    void refused(ErrorCode code, String reason);
}
