package org.hyssopswitch.core.configuration;

import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.RouteId;

/**
 * A declared route: how the statements that name it may be run.
 *
 * @param id the route
 * @param database the database it belongs to
 * @param read whether statements only read; enforced by running them read-only
 * @param maxAgeMillis staleness that a read accepts, except for the session's own writes; 0 for the latest data
 * @param repeatable whether a statement may be retried after a failure
 * @param open whether callers without a key may use it; only for reads
 */
public record RouteDeclaration(
        RouteId id, DatabaseId database, boolean read, long maxAgeMillis, boolean repeatable, boolean open) {

    /** The route of statements that name none: a write that requires a key and is not repeatable. */
    public static final RouteId UNDECLARED = new RouteId("undeclared");

    /** Validates the combination of attributes. */
    public RouteDeclaration {
        if (maxAgeMillis < 0) {
            throw new IllegalArgumentException(
                    "the accepted age of route " + id + " must not be negative, but is " + maxAgeMillis);
        }
        if (open && !read) {
            throw new IllegalArgumentException("route " + id + " is open to all and must be a read");
        }
    }

    /**
     * Returns the route of statements that name none.
     *
     * @param database the database of the statement
     */
    public static RouteDeclaration undeclared(DatabaseId database) {
        return new RouteDeclaration(UNDECLARED, database, false, 0, false, false);
    }
}
