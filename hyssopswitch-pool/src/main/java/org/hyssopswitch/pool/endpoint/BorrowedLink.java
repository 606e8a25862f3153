package org.hyssopswitch.pool.endpoint;

import io.vavr.control.Option;
import java.util.Map;
import org.hyssopswitch.pool.statement.PreparedShape;

/** A connection that another VM lends to this one for one operation. */
public interface BorrowedLink extends EndpointLink {

    /**
     * Sets the session values and the prepared statement that the lender applies before the next command.
     *
     * @param values values of the session
     * @param shape the prepared statement to execute next, if any
     */
    void applySession(Map<String, String> values, Option<PreparedShape> shape);
}
