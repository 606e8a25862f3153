package org.hyssopswitch.app.fleet;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.hyssopswitch.core.configuration.AccountDeclaration;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.core.configuration.RouteDeclaration;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.core.identity.KeyId;
import org.hyssopswitch.core.identity.RouteId;
import org.hyssopswitch.core.identity.TeamId;
import org.hyssopswitch.core.key.ScramUtils;
import org.hyssopswitch.load.profile.AccountProfile;
import org.hyssopswitch.load.profile.Deployment;
import org.hyssopswitch.load.profile.LoadProfile;
import org.hyssopswitch.standin.group.DatabaseGroupServer;
import org.hyssopswitch.standin.group.GroupSettings;

/** Derives the settings of a deployment from a load profile; the primaries are spread over the data centres. */
final class FleetPlan {

    static final TeamId TEAM = new TeamId("demo");

    private static final long LAG_MILLIS = 20;
    private static final long SERVICE_MICROS = 500;
    private static final int KEY_ITERATIONS = 4_096;
    private static final String HOST = "127.0.0.1";

    private final LoadProfile profile;

    FleetPlan(LoadProfile profile) {
        this.profile = profile;
    }

    DataCentreId dataCentre(int index) {
        List<String> names = profile.deployment().dataCentres();
        return new DataCentreId(names.get(index % names.size()));
    }

    CellId cell(int index) {
        return new CellId(dataCentre(index) + "-1");
    }

    GroupSettings group(String database) {
        Deployment deployment = profile.deployment();
        return GroupSettings.of(database, deployment.endpoints())
                .withCapacity(deployment.slots(), deployment.connections(), deployment.connectionCostMillis())
                .withDelays(LAG_MILLIS, SERVICE_MICROS);
    }

    TeamConfiguration configuration(Map<DatabaseId, DatabaseGroupServer> groups) {
        List<DatabaseDeclaration> databases = new ArrayList<>();
        List<RouteDeclaration> routes = new ArrayList<>();
        groups.forEach((id, group) -> {
            databases.add(database(id, group, databases.size()));
            routes.addAll(routes(id));
        });
        List<DatabaseId> ids = List.copyOf(groups.keySet());
        List<AccountDeclaration> accounts =
                profile.accounts().stream().map(a -> account(a, ids)).toList();
        return new TeamConfiguration(TEAM, 0, databases, accounts, routes);
    }

    private DatabaseDeclaration database(DatabaseId id, DatabaseGroupServer group, int first) {
        List<EndpointDeclaration> endpoints = new ArrayList<>();
        for (EndpointId endpoint : group.endpoints()) {
            int index = first + endpoints.size();
            endpoints.add(new EndpointDeclaration(
                    endpoint, dataCentre(index), cell(index), HOST, group.port(endpoint), false));
        }
        Deployment deployment = profile.deployment();
        return new DatabaseDeclaration(id, endpoints, deployment.slots(), deployment.connections());
    }

    private List<RouteDeclaration> routes(DatabaseId id) {
        var traffic = profile.traffic();
        return List.of(
                new RouteDeclaration(new RouteId(traffic.agedRoute()), id, true, traffic.maxAgeMillis(), true, false),
                new RouteDeclaration(new RouteId(traffic.latestRoute()), id, true, 0, true, false));
    }

    private static AccountDeclaration account(AccountProfile account, List<DatabaseId> databases) {
        byte[] salt = ("salt-of-" + account.name()).getBytes(StandardCharsets.UTF_8);
        return new AccountDeclaration(
                new ClientAccountId(account.name()),
                new Rate(account.ratePerSecond(), account.burst()),
                databases,
                List.of(ScramUtils.derive(
                        new KeyId(account.name() + "-1"), account.defaultKey(), salt, KEY_ITERATIONS)));
    }
}
