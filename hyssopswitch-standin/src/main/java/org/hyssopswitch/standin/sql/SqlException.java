package org.hyssopswitch.standin.sql;

import org.hyssopswitch.core.failure.HyssopException;

/** Carries a {@link SqlFailure} out of parsing or evaluation. */
public final class SqlException extends HyssopException {

    private static final long serialVersionUID = 1L;

    private final transient SqlFailure sqlFailure;

    /**
     * Creates an exception.
     *
     * @param error the kind of error
     * @param detail one line for people
     */
    public SqlException(SqlError error, String detail) {
        this(new SqlFailure(error, detail));
    }

    private SqlException(SqlFailure failure) {
        super(failure.describe());
        this.sqlFailure = failure;
    }

    /** The failure. */
    public SqlFailure sqlFailure() {
        return sqlFailure;
    }
}
