package org.hyssopswitch.core.configuration;

import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.RouteId;

/**
 * A declared route: how statements that name it may be served.
 *
 * @param id the route
 * @param database the database it belongs to
 * @param read whether statements only read; enforced by running them read-only
 * @param maxAgeMillis age of data that a read accepts beyond the session's own writes; 0 for the latest
 * @param repeatable whether a statement may be run again after a failure
 * @param open whether callers without a key may use it; only for reads
 */
public record RouteDeclaration(
        RouteId id, DatabaseId database, boolean read, long maxAgeMillis, boolean repeatable, boolean open) {

    /** The name of the route of statements that name none: a keyed write that is not repeatable. */
    public static final RouteId UNDECLARED = new RouteId("undeclared");

    /** Checks the combination. */
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
     * The route of statements that name none.
     *
     * @param database the database of the statement
     */
    public static RouteDeclaration undeclared(DatabaseId database) {
        return new RouteDeclaration(UNDECLARED, database, false, 0, false, false);
    }
}
