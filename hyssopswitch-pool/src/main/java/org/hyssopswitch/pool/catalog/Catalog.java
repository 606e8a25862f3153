package org.hyssopswitch.pool.catalog;

import io.vavr.control.Option;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * One version of the complete configuration that the operator declares.
 *
 * @param version number of the version, which increases with every change
 * @param routes routes by database name
 * @param groups groups by name
 * @param accounts client accounts by key
 * @param transactionIdleMillis idle timeout of a transaction, milliseconds
 */
public record Catalog(
        long version,
        Map<String, Route> routes,
        Map<String, GroupDeclaration> groups,
        Map<String, Account> accounts,
        long transactionIdleMillis) {

    /** The empty configuration that a VM has before it has read the first version. */
    public static final Catalog EMPTY = new Catalog(-1, Map.of(), Map.of(), Map.of(), 3_000);

    /** Copies the maps, so that the version is immutable. */
    public Catalog {
        routes = Map.copyOf(routes);
        groups = Map.copyOf(groups);
        accounts = Map.copyOf(accounts);
    }

    /**
     * Creates a version from lists; of entries with the same key the first is used.
     *
     * @param version number of the version
     * @param routes the routes
     * @param groups the groups
     * @param accounts client accounts by key
     * @param transactionIdleMillis idle timeout of a transaction, milliseconds
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
     * Returns the route of a database name, if there is one.
     *
     * @param database database name as given by the caller
     */
    public Option<Route> findRoute(String database) {
        return Option.of(routes.get(database));
    }

    /**
     * Returns the client account that a key belongs to, if there is one.
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
