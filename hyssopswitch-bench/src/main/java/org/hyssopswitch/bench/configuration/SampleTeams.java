package org.hyssopswitch.bench.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.hyssopswitch.core.configuration.AccountDeclaration;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.configuration.KeyVerifier;
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

/** Random teams of a size, and random changes to them. */
final class SampleTeams {

    private static final String BASE64 = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

    private final SplittableRandom random;

    SampleTeams(long seed) {
        this.random = new SplittableRandom(seed);
    }

    /** A team with databases of three endpoints, eight accounts for every three databases, and four routes each. */
    TeamConfiguration create(String name, int databases) {
        List<DatabaseDeclaration> declared =
                IntStream.range(0, databases).mapToObj(i -> database(name, i)).toList();
        List<AccountDeclaration> accounts = IntStream.range(0, Math.max(1, databases * 8 / 3))
                .mapToObj(i -> account(name, i, databases))
                .toList();
        List<RouteDeclaration> routes = new ArrayList<>();
        for (DatabaseDeclaration database : declared) {
            for (int i = 0; i < 4; i++) {
                routes.add(new RouteDeclaration(new RouteId("route-" + i), database.id(), i > 1, 0, i > 1, false));
            }
        }
        return new TeamConfiguration(new TeamId(name), 1, declared, accounts, routes);
    }

    /** Changes some accounts: a key is replaced, or rate and burst are set. */
    TeamConfiguration change(TeamConfiguration team, int count) {
        List<AccountDeclaration> accounts = new ArrayList<>(team.accounts());
        for (int i = 0; i < count; i++) {
            int index = random.nextInt(accounts.size());
            AccountDeclaration old = accounts.get(index);
            boolean key = random.nextBoolean();
            accounts.set(
                    index,
                    new AccountDeclaration(
                            old.id(),
                            key ? old.rate() : new Rate(1 + random.nextInt(500), 1 + random.nextInt(900)),
                            old.databases(),
                            key ? List.of(old.keys().get(0), key("k" + random.nextInt(1_000_000))) : old.keys()));
        }
        return new TeamConfiguration(team.team(), 2, team.databases(), accounts, team.routes());
    }

    private DatabaseDeclaration database(String team, int index) {
        String name = team + ".db-" + index;
        List<EndpointDeclaration> endpoints = IntStream.range(0, 3)
                .mapToObj(i -> new EndpointDeclaration(
                        new EndpointId(name + "-" + i),
                        new DataCentreId("dc-" + i),
                        new CellId("dc-" + i + "-" + random.nextInt(4)),
                        "10." + random.nextInt(256) + "." + random.nextInt(256) + "." + random.nextInt(256),
                        5432,
                        false))
                .toList();
        return new DatabaseDeclaration(new DatabaseId(name), endpoints, 2 + random.nextInt(3), 16 + random.nextInt(20));
    }

    private AccountDeclaration account(String team, int index, int databases) {
        return new AccountDeclaration(
                new ClientAccountId(team + ".account-" + index),
                new Rate(1 + random.nextInt(500), 1 + random.nextInt(900)),
                List.of(new DatabaseId(team + ".db-" + random.nextInt(databases))),
                List.of(key("k0"), key("k1")));
    }

    private KeyVerifier key(String name) {
        return new KeyVerifier(new KeyId(name), base64(22) + "==", 4_096, base64(43) + "=", base64(43) + "=");
    }

    private String base64(int length) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < length - 1; i++) {
            text.append(BASE64.charAt(random.nextInt(64)));
        }
        return text.append('A').toString();
    }
}
