package org.hyssopswitch.standin.group;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.hyssopswitch.core.position.EndpointRole;
import org.hyssopswitch.standin.sql.Column;
import org.hyssopswitch.standin.sql.Condition;
import org.hyssopswitch.standin.sql.Operand;
import org.hyssopswitch.standin.sql.SelectItem;
import org.hyssopswitch.standin.sql.SqlError;
import org.hyssopswitch.standin.sql.SqlException;
import org.hyssopswitch.standin.sql.Statement;
import org.hyssopswitch.standin.sql.Table;

/** Evaluates reads and writes of one statement within a transaction. */
final class StatementExecutor {

    private final Endpoint endpoint;
    private final Transaction transaction;
    private final List<String> parameters;

    StatementExecutor(Endpoint endpoint, Transaction transaction, List<String> parameters) {
        this.endpoint = endpoint;
        this.transaction = transaction;
        this.parameters = parameters;
    }

    QueryResult run(Statement statement) {
        if (statement instanceof Statement.Select select) {
            return select(select);
        }
        requireWritable();
        if (statement instanceof Statement.Insert insert) {
            return insert(insert);
        }
        return update((Statement.Update) statement);
    }

    private void requireWritable() {
        if (transaction.readOnly()) {
            throw new SqlException(SqlError.READ_ONLY, "cannot write in a read-only transaction; not run");
        }
        if (endpoint.role() != EndpointRole.PRIMARY) {
            throw new SqlException(SqlError.READ_ONLY, endpoint.notPrimary().detail());
        }
    }

    private QueryResult select(Statement.Select select) {
        List<List<String>> rows =
                select.table().map(t -> matching(t, select.where())).orElseGet(() -> List.of(List.of()));
        boolean counts = select.items().stream().anyMatch(SelectItem.Count.class::isInstance);
        List<List<String>> result = new ArrayList<>();
        if (counts) {
            result.add(project(select.items(), Table.KV, List.of(), rows.size()));
        } else {
            rows.forEach(r -> result.add(project(select.items(), select.table().orElse(Table.KV), r, 0)));
        }
        return new QueryResult(select.columns(), result, "SELECT " + result.size());
    }

    private QueryResult insert(Statement.Insert insert) {
        List<String> values =
                insert.values().stream().map(o -> o.value(parameters)).toList();
        if (insert.table() == Table.LEDGER) {
            LedgerRow row = new LedgerRow(values.get(0), values.get(1), number(values.get(2)));
            transaction.append(row);
            return written("INSERT 0 1", insert.returning(), Table.LEDGER, List.of(row.cells()), insert.columns());
        }
        return insertKv(insert, values.get(0), values.get(1));
    }

    private QueryResult insertKv(Statement.Insert insert, String key, String value) {
        boolean exists = transaction.row(endpoint.store(), key).isPresent();
        if (insert.onConflict() != Statement.OnConflict.UPDATE
                || !insert.returning().isEmpty()) {
            transaction.expectUnchanged(endpoint.store(), key);
        }
        if (exists && insert.onConflict() == Statement.OnConflict.FAIL) {
            throw new SqlException(SqlError.DUPLICATE_KEY, "key " + key + " already exists; not run");
        }
        if (exists && insert.onConflict() == Statement.OnConflict.NOTHING) {
            return new QueryResult(insert.columns(), List.of(), "INSERT 0 0");
        }
        KvRow row = transaction.put(endpoint.store(), key, value);
        return written("INSERT 0 1", insert.returning(), Table.KV, List.of(row.cells()), insert.columns());
    }

    private QueryResult update(Statement.Update update) {
        String value = update.value().value(parameters);
        boolean conditional = update.where().size() > 1 || !update.returning().isEmpty();
        List<List<String>> rows = new ArrayList<>();
        for (List<String> row : matching(Table.KV, update.where())) {
            if (conditional) {
                transaction.expectUnchanged(endpoint.store(), row.get(0));
            }
            rows.add(transaction.put(endpoint.store(), row.get(0), value).cells());
        }
        return written("UPDATE " + rows.size(), update.returning(), Table.KV, rows, update.columns());
    }

    private QueryResult written(
            String tag, List<SelectItem> items, Table table, List<List<String>> rows, List<Column> columns) {
        if (items.isEmpty()) {
            return QueryResult.tag(tag);
        }
        List<List<String>> result =
                rows.stream().map(r -> project(items, table, r, rows.size())).toList();
        return new QueryResult(columns, result, tag);
    }

    private List<List<String>> matching(Table table, List<Condition> where) {
        Map<Column, String> equal = new HashMap<>();
        for (Condition condition : where) {
            String value = condition.operand().value(parameters);
            String other = equal.putIfAbsent(condition.column(), value);
            if (other != null && !other.equals(value)) {
                return List.of();
            }
        }
        return transaction.rows(endpoint.store(), table, equal).toList();
    }

    private List<String> project(List<SelectItem> items, Table table, List<String> row, int count) {
        return items.stream().map(i -> cell(i, table, row, count)).toList();
    }

    private String cell(SelectItem item, Table table, List<String> row, int count) {
        if (item instanceof SelectItem.TableColumn column) {
            if (row.isEmpty()) {
                throw new SqlException(SqlError.SYNTAX_ERROR, "a column cannot stand beside count(*)");
            }
            return row.get(table.index(column.source()));
        }
        if (item instanceof SelectItem.Value value) {
            return value.operand().value(parameters);
        }
        if (item instanceof SelectItem.Count) {
            return Integer.toString(count);
        }
        if (item instanceof SelectItem.Role) {
            return endpoint.role().name().toLowerCase(Locale.ROOT);
        }
        return item instanceof SelectItem.EndpointName ? endpoint.id().value() : "";
    }

    /** Seconds that a statement asks to wait. */
    static double sleepSeconds(Statement statement, List<String> parameters) {
        if (!(statement instanceof Statement.Select select)) {
            return 0;
        }
        return select.items().stream()
                .filter(SelectItem.Sleep.class::isInstance)
                .map(i -> ((SelectItem.Sleep) i).seconds())
                .mapToDouble(o -> seconds(o, parameters))
                .sum();
    }

    private static double seconds(Operand operand, List<String> parameters) {
        String text = operand.value(parameters);
        try {
            return Math.max(0, Double.parseDouble(text));
        } catch (NumberFormatException e) {
            throw new SqlException(SqlError.INVALID_VALUE, "seconds must be a number, but are \"" + text + "\"");
        }
    }

    private static long number(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            throw new SqlException(SqlError.INVALID_VALUE, "amount must be a whole number, but is \"" + text + "\"");
        }
    }
}
