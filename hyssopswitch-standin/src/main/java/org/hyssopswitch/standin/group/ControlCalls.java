package org.hyssopswitch.standin.group;

import java.util.List;
import java.util.Locale;
import org.hyssopswitch.core.engine.ControlReply;
import org.hyssopswitch.core.engine.ControlRequest;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.position.EndpointStatus;
import org.hyssopswitch.standin.sql.SqlError;
import org.hyssopswitch.standin.sql.SqlException;
import org.hyssopswitch.standin.sql.Statement;

/** Translates control statements to requests and replies to rows. */
final class ControlCalls {

    private ControlCalls() {}

    static ControlRequest request(Statement.Control call, List<String> parameters) {
        List<String> values =
                call.arguments().stream().map(o -> o.value(parameters)).toList();
        requireCount(call.function(), values.size());
        return switch (call.function()) {
            case "hyssop_status" -> new ControlRequest.Status();
            case "hyssop_fence" -> new ControlRequest.Fence(number(values.get(0)), values.get(1));
            case "hyssop_promote" -> new ControlRequest.Promote(number(values.get(0)), values.get(1));
            case "hyssop_follow" -> new ControlRequest.Follow(number(values.get(0)), endpoint(values.get(1)));
            default -> new ControlRequest.AwaitPosition(number(values.get(0)), number(values.get(1)));
        };
    }

    static QueryResult result(Statement.Control call, ControlReply reply) {
        EndpointStatus status = reply.status();
        List<String> row = List.of(
                Boolean.toString(reply.accepted()),
                status.endpoint().value(),
                status.role().name().toLowerCase(Locale.ROOT),
                Long.toString(status.acceptedTerm()),
                Long.toString(status.applied().term()),
                Long.toString(status.applied().offset()),
                Long.toString(status.termStart()),
                Long.toString(status.contactAgeMillis()),
                Long.toString(status.dataAgeMillis()));
        return new QueryResult(call.columns(), List.of(row), "SELECT 1");
    }

    private static void requireCount(String function, int count) {
        int expected =
                switch (function) {
                    case "hyssop_status" -> 0;
                    case "hyssop_fence", "hyssop_promote", "hyssop_follow", "hyssop_await" -> 2;
                    default ->
                        throw new SqlException(SqlError.SYNTAX_ERROR, "function " + function + " does not exist");
                };
        if (count != expected) {
            throw new SqlException(
                    SqlError.SYNTAX_ERROR, function + " takes " + expected + " arguments, but got " + count);
        }
    }

    private static long number(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new SqlException(SqlError.INVALID_VALUE, "expected a whole number, but got \"" + text + "\"");
        }
    }

    private static EndpointId endpoint(String text) {
        try {
            return new EndpointId(text);
        } catch (IllegalArgumentException e) {
            throw new SqlException(SqlError.INVALID_VALUE, e.getMessage());
        }
    }
}
