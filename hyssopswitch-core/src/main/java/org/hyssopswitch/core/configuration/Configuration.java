package org.hyssopswitch.core.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.RouteId;
import org.hyssopswitch.core.identity.TeamId;

/** An immutable configuration of one version, indexed for look-ups. */
public final class Configuration {

    /** The configuration of a VM that has not received any yet. */
    public static final Configuration EMPTY = new Configuration(0, Map.of());

    private final long version;
    private final Map<TeamId, TeamConfiguration> teams;
    private final Map<DatabaseId, DatabaseDeclaration> databases = new HashMap<>();
    private final Map<ClientAccountId, AccountDeclaration> accounts = new HashMap<>();
    private final Map<RouteKey, RouteDeclaration> routes = new HashMap<>();

    /**
     * Creates a configuration.
     *
     * @param version position in the total order of accepted changes; 0 for none
     * @param teams subtrees by team
     */
    public Configuration(long version, Map<TeamId, TeamConfiguration> teams) {
        this.version = version;
        this.teams = Map.copyOf(teams);
        this.teams.values().forEach(this::index);
    }

    /** The version, which orders all accepted changes. */
    public long version() {
        return version;
    }

    /** The subtrees by team. */
    public Map<TeamId, TeamConfiguration> teams() {
        return teams;
    }

    /** All databases. */
    public Map<DatabaseId, DatabaseDeclaration> databases() {
        return Map.copyOf(databases);
    }

    /** All client accounts. */
    public Map<ClientAccountId, AccountDeclaration> accounts() {
        return Map.copyOf(accounts);
    }

    /**
     * Finds a database.
     *
     * @param id the database
     */
    public Optional<DatabaseDeclaration> database(DatabaseId id) {
        return Optional.ofNullable(databases.get(id));
    }

    /**
     * Finds a client account.
     *
     * @param id the client account
     */
    public Optional<AccountDeclaration> account(ClientAccountId id) {
        return Optional.ofNullable(accounts.get(id));
    }

    /**
     * Finds a route of a database.
     *
     * @param database the database
     * @param id the route
     */
    public Optional<RouteDeclaration> route(DatabaseId database, RouteId id) {
        return Optional.ofNullable(routes.get(new RouteKey(database, id)));
    }

    private void index(TeamConfiguration team) {
        team.databases().forEach(d -> databases.put(d.id(), d));
        team.accounts().forEach(a -> accounts.put(a.id(), a));
        team.routes().forEach(r -> routes.put(new RouteKey(r.database(), r.id()), r));
    }

    private record RouteKey(DatabaseId database, RouteId route) {}
}
