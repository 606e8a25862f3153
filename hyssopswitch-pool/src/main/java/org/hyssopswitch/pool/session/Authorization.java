package org.hyssopswitch.pool.session;

import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.catalog.Route;

/**
 * What a caller may do under the configuration in force.
 *
 * @param route the route of its database
 * @param account the client account of its key
 */
record Authorization(Route route, Account account) {}
