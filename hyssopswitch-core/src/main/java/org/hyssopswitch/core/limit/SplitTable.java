package org.hyssopswitch.core.limit;

import java.util.Comparator;
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

/** The splits of all client accounts under one configuration, and the cells of each data centre. */
final class SplitTable {

    static final SplitTable EMPTY = new SplitTable(Configuration.EMPTY);

    private final long version;
    private final Map<ClientAccountId, AccountSplit> splits = new HashMap<>();
    private final Map<Integer, Long> slotVersions = new HashMap<>();
    private final Map<DataCentreId, List<CellId>> cells = new TreeMap<>();

    SplitTable(Configuration configuration) {
        this.version = configuration.version();
        Map<DatabaseId, DatabasePlaces> places = new HashMap<>();
        for (TeamConfiguration team : configuration.teams().values()) {
            team.databases().forEach(d -> places.put(d.id(), DatabasePlaces.of(d, team.version())));
        }
        for (TeamConfiguration team : configuration.teams().values()) {
            team.accounts().forEach(a -> splits.put(a.id(), split(a, team.version(), places)));
        }
        collectCells(configuration);
    }

    /** The configuration version. */
    long version() {
        return version;
    }

    Optional<AccountSplit> find(ClientAccountId account) {
        return Optional.ofNullable(splits.get(account));
    }

    /** The data centres named by the configuration. */
    Set<DataCentreId> dataCentres() {
        return cells.keySet();
    }

    /** The cells that endpoints of a data centre belong to, in order of their names. */
    List<CellId> cells(DataCentreId dataCentre) {
        return cells.getOrDefault(dataCentre, List.of());
    }

    /** The highest version of the splits of a slot's accounts; 0 when it has none. */
    long slotVersion(int slot, int slots) {
        if (slotVersions.isEmpty()) {
            splits.forEach((account, split) ->
                    slotVersions.merge(SlotUtils.slotOf(account, slots), split.version(), Math::max));
        }
        return slotVersions.getOrDefault(slot, 0L);
    }

    /** The slots of accounts whose data centres differ from those of an earlier table. */
    Set<Integer> movedSlots(SplitTable earlier, int slots) {
        Set<Integer> moved = new HashSet<>();
        Set<ClientAccountId> accounts = new HashSet<>(splits.keySet());
        accounts.addAll(earlier.splits.keySet());
        for (ClientAccountId account : accounts) {
            if (!places(account).equals(earlier.places(account))) {
                moved.add(SlotUtils.slotOf(account, slots));
            }
        }
        return moved;
    }

    private List<DataCentreId> places(ClientAccountId account) {
        return find(account).map(AccountSplit::dataCentres).orElse(List.of());
    }

    private static AccountSplit split(
            AccountDeclaration account, long teamVersion, Map<DatabaseId, DatabasePlaces> places) {
        Set<DataCentreId> dataCentres = new TreeSet<>();
        long version = teamVersion;
        for (DatabaseId database : account.databases()) {
            DatabasePlaces place = places.get(database);
            if (place != null) {
                dataCentres.addAll(place.dataCentres());
                version = Math.max(version, place.version());
            }
        }
        return AccountSplit.of(account.id(), account.rate(), List.copyOf(dataCentres), version);
    }

    private void collectCells(Configuration configuration) {
        Map<DataCentreId, Set<CellId>> found = new TreeMap<>(Comparator.naturalOrder());
        for (TeamConfiguration team : configuration.teams().values()) {
            for (DatabaseDeclaration database : team.databases()) {
                for (EndpointDeclaration endpoint : database.endpoints()) {
                    found.computeIfAbsent(endpoint.dataCentre(), d -> new TreeSet<>())
                            .add(endpoint.cell());
                }
            }
        }
        found.forEach((dataCentre, set) -> cells.put(dataCentre, List.copyOf(set)));
    }

    private record DatabasePlaces(Set<DataCentreId> dataCentres, long version) {

        static DatabasePlaces of(DatabaseDeclaration database, long version) {
            Set<DataCentreId> found = new TreeSet<>();
            database.endpoints().forEach(e -> found.add(e.dataCentre()));
            return new DatabasePlaces(found, version);
        }
    }
}
