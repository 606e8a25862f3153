package org.hyssopswitch.core.configuration;

import java.util.List;
import org.hyssopswitch.core.identity.TeamId;

/**
 * The subtree of one team.
 *
 * @param team the team
 * @param version version of the subtree: the configuration version that last changed it
 * @param databases its databases
 * @param accounts its client accounts
 * @param routes the routes of its databases
 */
public record TeamConfiguration(
        TeamId team,
        long version,
        List<DatabaseDeclaration> databases,
        List<AccountDeclaration> accounts,
        List<RouteDeclaration> routes) {

    /** Makes immutable copies of the lists. */
    public TeamConfiguration {
        databases = List.copyOf(databases);
        accounts = List.copyOf(accounts);
        routes = List.copyOf(routes);
    }
}
