package org.hyssopswitch.standin.group;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.hyssopswitch.standin.sql.Column;
import org.hyssopswitch.standin.sql.Table;

/** The changes of an open transaction; its reads see the committed rows and these changes. */
final class Transaction {

    private final long term;
    private final List<Mutation> mutations = new ArrayList<>();
    private final DataStore overlay = new DataStore();
    private final Map<String, Long> expectedVersions = new HashMap<>();
    private boolean readOnly;

    Transaction(long term, boolean readOnly) {
        this.term = term;
        this.readOnly = readOnly;
    }

    /** Term that the endpoint had accepted when the transaction began; it commits in no other. */
    long term() {
        return term;
    }

    boolean readOnly() {
        return readOnly;
    }

    void setReadOnly(boolean value) {
        readOnly = value;
    }

    List<Mutation> mutations() {
        return mutations;
    }

    Optional<KvRow> row(DataStore committed, String key) {
        return overlay.row(key).or(() -> committed.row(key));
    }

    Stream<List<String>> rows(DataStore committed, Table table, Map<Column, String> equal) {
        Stream<List<String>> base = committed
                .rows(table, equal)
                .filter(r -> table != Table.KV || overlay.row(r.get(0)).isEmpty());
        return Stream.concat(base, overlay.rows(table, equal));
    }

    KvRow put(DataStore committed, String key, String value) {
        long version = row(committed, key).map(KvRow::version).orElse(0L);
        KvRow row = new KvRow(key, value, version + 1);
        overlay.put(row);
        mutations.add(new Mutation.PutRow(key, value));
        return row;
    }

    void append(LedgerRow row) {
        overlay.append(row);
        mutations.add(new Mutation.AppendLedger(row));
    }

    /** Makes the commit fail when the committed row has changed by then; call before changing the row. */
    void expectUnchanged(DataStore committed, String key) {
        long version = committed.row(key).map(KvRow::version).orElse(0L);
        expectedVersions.putIfAbsent(key, version);
    }

    /** Whether no row that the transaction depends on has changed. */
    boolean unchanged(DataStore committed) {
        return expectedVersions.entrySet().stream()
                .allMatch(e ->
                        committed.row(e.getKey()).map(KvRow::version).orElse(0L).equals(e.getValue()));
    }
}
