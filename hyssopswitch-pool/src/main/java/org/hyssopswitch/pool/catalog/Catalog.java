package org.hyssopswitch.pool.catalog;

import io.vavr.control.Option;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * One version of the operator's whole configuration.
 *
 * @param version number of the version; later versions have higher numbers
 * @param routes routes by database name
 * @param groups groups by name
 * @param accounts client accounts by key
 * @param transactionIdleMillis time after which an idle transaction may be ended, milliseconds
 */
public record Catalog(
        long version,
        Map<String, Route> routes,
        Map<String, GroupDeclaration> groups,
        Map<String, Account> accounts,
        long transactionIdleMillis) {

    /** The configuration of a VM that has read none yet. */
    public static final Catalog EMPTY = new Catalog(-1, Map.of(), Map.of(), Map.of(), 3_000);

    /** Copies the maps. */
    public Catalog {
        routes = Map.copyOf(routes);
        groups = Map.copyOf(groups);
        accounts = Map.copyOf(accounts);
    }

    /**
     * Builds a version from lists.
     *
     * @param version number of the version
     * @param routes the routes
     * @param groups the groups
     * @param accounts client accounts by key
     * @param transactionIdleMillis time after which an idle transaction may be ended, milliseconds
     */
    public static Catalog of(
            long version,
            List<Route> routes,
            List<GroupDeclaration> groups,
            Map<String, Account> accounts,
            long transactionIdleMillis) {
        return new Catalog(
                version,
                byKey(routes, Route::database),
                byKey(groups, GroupDeclaration::name),
                accounts,
                transactionIdleMillis);
    }

    /**
     * Finds the route of a database name.
     *
     * @param database name as given by the caller
     */
    public Option<Route> findRoute(String database) {
        return Option.of(routes.get(database));
    }

    /**
     * Finds the client account of a key.
     *
     * @param key the key as given by the caller
     */
    public Option<Account> findAccount(String key) {
        return Option.of(accounts.get(key));
    }

    private static <T> Map<String, T> byKey(List<T> items, Function<T, String> key) {
        return items.stream().collect(Collectors.toMap(key, Function.identity(), (first, second) -> first));
    }
}
