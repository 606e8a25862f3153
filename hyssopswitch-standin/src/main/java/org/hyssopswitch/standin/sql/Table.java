package org.hyssopswitch.standin.sql;

import java.util.List;
import java.util.Optional;

/** The tables of the stand-in. */
@SuppressWarnings("ImmutableEnumChecker")
public enum Table {
    /** Rows by key, with a version that each change raises by one. */
    KV(List.of(new Column("key", Column.TEXT_OID), new Column("value", Column.TEXT_OID), Column.int8("version")), 2),
    /** Appended rows; equal rows are kept, so that a repeated insert shows. */
    LEDGER(
            List.of(
                    new Column("account", Column.TEXT_OID),
                    new Column("request", Column.TEXT_OID),
                    Column.int8("amount")),
            3);

    private final List<Column> columns;
    private final int inserted;

    Table(List<Column> columns, int inserted) {
        this.columns = columns;
        this.inserted = inserted;
    }

    /** The columns in order. */
    public List<Column> columns() {
        return columns;
    }

    /** Columns that an insert must name, which are the first ones of {@link #columns}. */
    public List<Column> insertedColumns() {
        return columns.subList(0, inserted);
    }

    /**
     * Finds a column.
     *
     * @param name name of the column
     */
    public Optional<Column> column(String name) {
        return columns.stream().filter(c -> c.name().equals(name)).findFirst();
    }

    /**
     * Position of a column in a row.
     *
     * @param column a column of this table
     */
    public int index(Column column) {
        return columns.indexOf(column);
    }
}
