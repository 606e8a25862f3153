package org.hyssopswitch.pool.session;

import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.catalog.Route;

/**
 * Route and account that a caller may use under the current configuration.
 *
 * @param route the route of its database
 * @param account the client account that its key belongs to
 */
record Authorization(Route route, Account account) {}
