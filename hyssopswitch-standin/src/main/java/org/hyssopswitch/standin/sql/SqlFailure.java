package org.hyssopswitch.standin.sql;

import org.hyssopswitch.core.failure.Failure;

/**
 * Why an endpoint refused or failed a statement.
 *
 * @param error the kind of error
 * @param detail one line for people
 */
public record SqlFailure(SqlError error, String detail) implements Failure {

    @Override
    public String describe() {
        return detail;
    }
}
