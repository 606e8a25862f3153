package org.hyssopswitch.settings.declaration;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.identity.TeamId;

/** The content of a file of declarations, or a team's whole subtree. */
record TeamDocument(List<DatabaseEntry> databases, List<AccountEntry> accounts, List<RouteEntry> routes) {

    static TeamDocument of(TeamConfiguration team) {
        return new TeamDocument(
                team.databases().stream()
                        .map(DatabaseEntry::of)
                        .sorted(Comparator.comparing(DatabaseEntry::id))
                        .toList(),
                team.accounts().stream()
                        .map(AccountEntry::of)
                        .sorted(Comparator.comparing(AccountEntry::id))
                        .toList(),
                team.routes().stream()
                        .map(RouteEntry::of)
                        .sorted(Comparator.comparing(RouteEntry::database).thenComparing(RouteEntry::id))
                        .toList());
    }

    TeamDocument plus(TeamDocument other) {
        return new TeamDocument(
                concat(databases, other.databases), concat(accounts, other.accounts), concat(routes, other.routes));
    }

    TeamConfiguration toConfiguration(TeamId team, long version) {
        return new TeamConfiguration(
                team,
                version,
                databases.stream().map(DatabaseEntry::toDeclaration).toList(),
                accounts.stream().map(AccountEntry::toDeclaration).toList(),
                routes.stream().map(RouteEntry::toDeclaration).toList());
    }

    private static <T> List<T> concat(List<T> first, List<T> second) {
        return Stream.concat(first.stream(), second.stream()).toList();
    }
}
