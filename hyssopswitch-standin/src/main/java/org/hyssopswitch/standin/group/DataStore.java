package org.hyssopswitch.standin.group;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.hyssopswitch.standin.sql.Column;
import org.hyssopswitch.standin.sql.Table;

/** The rows of one endpoint, which are its log applied in order. */
final class DataStore {

    private final Map<String, KvRow> kv = new LinkedHashMap<>();
    private final Map<String, List<LedgerRow>> ledger = new HashMap<>();

    void apply(Mutation mutation) {
        if (mutation instanceof Mutation.PutRow put) {
            long version = row(put.key()).map(KvRow::version).orElse(0L);
            put(new KvRow(put.key(), put.value(), version + 1));
        }
        if (mutation instanceof Mutation.AppendLedger append) {
            append(append.row());
        }
    }

    Optional<KvRow> row(String key) {
        return Optional.ofNullable(kv.get(key));
    }

    void put(KvRow row) {
        kv.put(row.key(), row);
    }

    void append(LedgerRow row) {
        ledger.computeIfAbsent(row.account(), k -> new ArrayList<>()).add(row);
    }

    /** The rows whose columns equal the given values. */
    Stream<List<String>> rows(Table table, Map<Column, String> equal) {
        return cells(table, equal).filter(r -> matches(table, r, equal));
    }

    private Stream<List<String>> cells(Table table, Map<Column, String> equal) {
        Optional<String> first = Optional.ofNullable(equal.get(table.columns().get(0)));
        if (table == Table.KV) {
            return first.map(k -> row(k).stream())
                    .orElseGet(() -> kv.values().stream())
                    .map(KvRow::cells);
        }
        return first.map(a -> ledger.getOrDefault(a, List.of()).stream())
                .orElseGet(() -> ledger.values().stream().flatMap(Collection::stream))
                .map(LedgerRow::cells);
    }

    private static boolean matches(Table table, List<String> row, Map<Column, String> equal) {
        return equal.entrySet().stream()
                .allMatch(e -> row.get(table.index(e.getKey())).equals(e.getValue()));
    }
}
