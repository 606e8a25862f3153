package org.hyssopswitch.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hyssopswitch.core.configuration.AccountDeclaration;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.configuration.DatabaseDeclaration;
import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.configuration.TeamConfiguration;
import org.hyssopswitch.core.identity.CellId;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.TeamId;

/**
 * The splits of client accounts under the configuration in force, and the cells of each data centre. Of a new
 * configuration only the teams that changed are applied.
 */
final class SplitTable {

    private final Map<DatabaseId, DatabasePlacement> placements = new HashMap<>();
    private final Map<ClientAccountId, DeclaredAccount> declaredAccounts = new HashMap<>();
    private final Map<DatabaseId, Set<ClientAccountId>> accountsByDatabase = new HashMap<>();
    private final Map<DataCentreId, TreeMap<CellId, Integer>> cells = new TreeMap<>();
    private final long[] slotVersions;
    private Map<TeamId, TeamConfiguration> teams = Map.of();
    private long version;

    /**
     * Creates a table without a configuration.
     *
     * @param slots slots per data centre
     */
    SplitTable(int slots) {
        slotVersions = new long[slots];
    }

    /** Returns the version of the configuration in force. */
    long version() {
        return version;
    }

    Optional<AccountSplit> find(ClientAccountId account) {
        return Optional.ofNullable(declaredAccounts.get(account)).map(this::split);
    }

    /** Returns the data centres named by the configuration. */
    Set<DataCentreId> dataCentres() {
        return cells.keySet();
    }

    /** Returns the cells that endpoints of a data centre belong to, in order of their names. */
    List<CellId> cells(DataCentreId dataCentre) {
        TreeMap<CellId, Integer> counts = cells.get(dataCentre);
        return counts == null ? List.of() : List.copyOf(counts.keySet());
    }

    /** Returns the highest version of the splits of a slot's accounts; 0 when it never had any. */
    long slotVersion(int slot) {
        return slotVersions[slot];
    }

    /** Applies a configuration and returns the accounts whose data centres changed. */
    Set<ClientAccountId> apply(Configuration next) {
        List<TeamConfiguration> removed = new ArrayList<>();
        List<TeamConfiguration> added = new ArrayList<>();
        findChanges(next, removed, added);
        Set<ClientAccountId> affected = new HashSet<>();
        removed.forEach(t -> collectAffected(t, affected));
        added.forEach(t -> collectAffected(t, affected));
        Map<ClientAccountId, List<DataCentreId>> before = new HashMap<>();
        affected.forEach(a -> before.put(a, dataCentres(a)));
        removed.forEach(this::remove);
        added.forEach(this::add);
        teams = next.teams();
        version = next.version();
        affected.forEach(this::raiseSlotVersion);
        affected.removeIf(a -> dataCentres(a).equals(before.get(a)));
        return affected;
    }

    private void findChanges(Configuration next, List<TeamConfiguration> removed, List<TeamConfiguration> added) {
        for (TeamConfiguration team : teams.values()) {
            TeamConfiguration current = next.teams().get(team.team());
            if (current == null || current.version() != team.version()) {
                removed.add(team);
            }
        }
        for (TeamConfiguration team : next.teams().values()) {
            TeamConfiguration previous = teams.get(team.team());
            if (previous == null || previous.version() != team.version()) {
                added.add(team);
            }
        }
    }

    /** Collects the accounts of a team and the accounts that use its databases. */
    private void collectAffected(TeamConfiguration team, Set<ClientAccountId> affected) {
        team.accounts().forEach(a -> affected.add(a.id()));
        team.databases().forEach(d -> affected.addAll(accountsByDatabase.getOrDefault(d.id(), Set.of())));
    }

    private void remove(TeamConfiguration team) {
        for (DatabaseDeclaration database : team.databases()) {
            placements.remove(database.id());
            database.endpoints().forEach(e -> countCell(e, -1));
        }
        for (AccountDeclaration account : team.accounts()) {
            declaredAccounts.remove(account.id());
            account.databases()
                    .forEach(d ->
                            accountsByDatabase.getOrDefault(d, new HashSet<>()).remove(account.id()));
        }
    }

    private void add(TeamConfiguration team) {
        for (DatabaseDeclaration database : team.databases()) {
            placements.put(database.id(), DatabasePlacement.of(database, team.version()));
            database.endpoints().forEach(e -> countCell(e, 1));
        }
        for (AccountDeclaration account : team.accounts()) {
            declaredAccounts.put(account.id(), new DeclaredAccount(account, team.version()));
            account.databases().forEach(d -> accountsByDatabase
                    .computeIfAbsent(d, k -> new HashSet<>())
                    .add(account.id()));
        }
    }

    private void countCell(EndpointDeclaration endpoint, int change) {
        TreeMap<CellId, Integer> counts = cells.computeIfAbsent(endpoint.dataCentre(), d -> new TreeMap<>());
        if (counts.merge(endpoint.cell(), change, Integer::sum) <= 0) {
            counts.remove(endpoint.cell());
        }
        if (counts.isEmpty()) {
            cells.remove(endpoint.dataCentre());
        }
    }

    private void raiseSlotVersion(ClientAccountId account) {
        int slot = SlotUtils.slotOf(account, slotVersions.length);
        long changed = find(account).map(AccountSplit::version).orElse(0L);
        slotVersions[slot] = Math.max(slotVersions[slot], changed);
    }

    private List<DataCentreId> dataCentres(ClientAccountId account) {
        return find(account).map(AccountSplit::dataCentres).orElse(List.of());
    }

    private AccountSplit split(DeclaredAccount source) {
        Set<DataCentreId> dataCentres = new TreeSet<>();
        long changed = source.version();
        for (DatabaseId database : source.account().databases()) {
            DatabasePlacement placement = placements.get(database);
            if (placement != null) {
                dataCentres.addAll(placement.dataCentres());
                changed = Math.max(changed, placement.version());
            }
        }
        AccountDeclaration account = source.account();
        return AccountSplit.of(account.id(), account.rate(), List.copyOf(dataCentres), changed);
    }

    private record DeclaredAccount(AccountDeclaration account, long version) {}

    private record DatabasePlacement(List<DataCentreId> dataCentres, long version) {

        static DatabasePlacement of(DatabaseDeclaration database, long version) {
            return new DatabasePlacement(
                    database.endpoints().stream()
                            .map(EndpointDeclaration::dataCentre)
                            .distinct()
                            .toList(),
                    version);
        }
    }
}
