package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import org.hyssopswitch.core.position.LogPosition;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.statement.ErrorCode;

/** A statement or transaction that waits for a connection to an endpoint. */
public interface ConnectionRequest {

    /** The client account that it runs for. */
    Account account();

    /** 0 for the most important. */
    int priority();

    /** Whether only the primary may run it. */
    boolean primaryOnly();

    /** The only endpoint that may run it; no log position matters to it, and its connection is never a borrowed one. */
    default Option<String> pinnedTo() {
        return Option.none();
    }

    /** Whether a connection of any client account serves it. */
    default boolean acceptsAnyAccount() {
        return false;
    }

    /** Accepted age of what it reads, milliseconds. */
    long stalenessMillis();

    /** Log position that it must see in any case. */
    LogPosition sessionFloor();

    /** Time of the monotonic clock, milliseconds, after which it is refused if no connection was assigned. */
    long assignmentDeadlineMillis();

    /** Time for which it waits when no endpoint could run it, milliseconds. */
    long unavailableWaitMillis();

    /**
     * Whether an endpoint has failed to run it before.
     *
     * @param endpointId the endpoint
     */
    boolean excludes(String endpointId);

    /**
     * A connection is assigned to the work, which must release or discard it.
     *
     * @param connection the connection
     * @param floor log position that reads must ask for; nothing when the endpoint must prove that it is the primary
     */
    void assigned(PooledConnection connection, Option<LogPosition> floor);

    /**
     * The work was not started and will not be.
     *
     * @param code why
     * @param reason one line for people
     */
    void refused(ErrorCode code, String reason);
}
