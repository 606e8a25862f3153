package org.hyssopswitch.load;

import java.sql.SQLException;
import java.util.Optional;
import org.hyssopswitch.load.audit.Outcome;
import org.postgresql.util.PSQLException;
import org.postgresql.util.ServerErrorMessage;

/** Tells from an error what a caller knows about its statement. */
final class ErrorClass {

    private static final String RATE_EXCEEDED = "53400";

    private ErrorClass() {}

    static Outcome outcome(SQLException error) {
        Optional<ServerErrorMessage> server =
                error instanceof PSQLException p ? Optional.ofNullable(p.getServerErrorMessage()) : Optional.empty();
        if (server.isEmpty()) {
            return Outcome.UNKNOWN;
        }
        String detail = Optional.ofNullable(server.get().getDetail()).orElse("");
        if (RATE_EXCEEDED.equals(error.getSQLState())) {
            return Outcome.RATE_REFUSED;
        }
        if (detail.contains("outcome unknown")
                || String.valueOf(error.getSQLState()).startsWith("08")) {
            return Outcome.UNKNOWN;
        }
        return detail.contains("not run") ? Outcome.NOT_RUN : Outcome.FAILED;
    }
}
