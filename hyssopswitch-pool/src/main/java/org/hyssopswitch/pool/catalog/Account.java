package org.hyssopswitch.pool.catalog;

import io.vavr.control.Option;
import org.hyssopswitch.core.configuration.Rate;

/**
 * A client account.
 *
 * @param name its name, as endpoints are told
 * @param limit operations over all VMs together; nothing when it is not limited
 */
public record Account(String name, Option<Rate> limit) {

    /** Who uses a route that needs no key. */
    public static final Account ANONYMOUS = new Account("-", Option.none());
}
