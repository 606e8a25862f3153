package org.hyssopswitch.pool.session;

import io.vavr.control.Option;
import org.hyssopswitch.pool.catalog.Account;
import org.hyssopswitch.pool.catalog.Catalog;
import org.hyssopswitch.pool.catalog.Route;
import org.hyssopswitch.pool.statement.ErrorCode;
import org.hyssopswitch.pool.statement.StatementOutcome;

/**
 * Route and account that a caller may use under the configuration in which its operation began.
 *
 * @param route the route of its database
 * @param account the client account that its key belongs to
 */
record Authorization(Route route, Account account) {

    /**
     * Returns why an operation that was authorized may not go on under a later configuration. It keeps its route until it
     * ends, but runs for no other account than the one that holds the caller's key now.
     *
     * @param catalog the later configuration
     * @param key the caller's key; empty if it presents none
     * @return the failure to report, or nothing if the operation may go on
     */
    Option<StatementOutcome.Failed> revocation(Catalog catalog, String key) {
        boolean open = route.open() || catalog.findRoute(route.database()).exists(Route::open);
        Option<Account> holder = catalog.findAccount(key).orElse(() -> Option.when(open, Account.ANONYMOUS));
        if (holder.isEmpty()) {
            return Option.some(new StatementOutcome.Failed(ErrorCode.KEY_UNKNOWN, "the key has been withdrawn"));
        }
        return holder.exists(current -> current.name().equals(account.name()))
                ? Option.none()
                : Option.some(new StatementOutcome.Failed(
                        ErrorCode.ABORTED, "the key belongs to another client account now"));
    }
}
