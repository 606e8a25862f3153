package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import java.util.Map;
import org.hyssopswitch.pool.statement.PreparedShape;

/** A connection of another VM, lent for one operation. */
public interface BorrowedLink extends EndpointLink {

    /**
     * Has the lender give the connection session values, and prepare a statement, before the next command.
     *
     * @param values the session's values
     * @param shape the prepared statement to execute next
     */
    void applySession(Map<String, String> values, Option<PreparedShape> shape);
}
