package org.hyssopswitch.pool.catalog;

import io.vavr.control.Option;
import org.hyssopswitch.core.configuration.Rate;

/**
 * A client account.
 *
 * @param name name of the account, which is sent to endpoints
 * @param limit rate of operations over all VMs together; none if the account is not limited
 */
public record Account(String name, Option<Rate> limit) {

    /** The account of callers that connect without a key, to a route that requires none. */
    public static final Account ANONYMOUS = new Account("-", Option.none());
}
