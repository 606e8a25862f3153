package org.hyssopswitch.standin.sql;

import java.util.List;
import java.util.Optional;

/** A parsed statement. */
public sealed interface Statement {

    /** The columns of the result; empty when there are no rows. */
    default List<Column> columns() {
        return List.of();
    }

    /** A query without a statement. */
    record Empty() implements Statement {}

    /**
     * Starts a transaction.
     *
     * @param readOnly whether writes are refused
     */
    record Begin(boolean readOnly) implements Statement {}

    /** Commits. */
    record Commit() implements Statement {}

    /** Rolls back. */
    record Rollback() implements Statement {}

    /**
     * Sets a session parameter.
     *
     * @param name name in lower case
     * @param value value as text
     */
    record SetParameter(String name, String value) implements Statement {}

    /**
     * Sets whether transactions only read.
     *
     * @param readOnly whether they do
     * @param session whether this holds for the next transactions of the session, or for the current one only
     */
    record SetReadOnly(boolean readOnly, boolean session) implements Statement {}

    /**
     * Shows a session parameter.
     *
     * @param name name in lower case
     */
    record Show(String name) implements Statement {
        @Override
        public List<Column> columns() {
            return List.of(Column.text(name));
        }
    }

    /**
     * Discards session state.
     *
     * @param tag the command tag
     */
    record Discard(String tag) implements Statement {}

    /**
     * Reads rows.
     *
     * @param items what to return
     * @param table the table; empty for one row without a table
     * @param where conditions that all must hold
     */
    record Select(List<SelectItem> items, Optional<Table> table, List<Condition> where) implements Statement {
        @Override
        public List<Column> columns() {
            return items.stream().map(SelectItem::column).toList();
        }
    }

    /** What an insert does when the key exists. */
    enum OnConflict {
        /** Fails. */
        FAIL,
        /** Leaves the row as it is. */
        NOTHING,
        /** Sets the value. */
        UPDATE
    }

    /**
     * Inserts a row.
     *
     * @param table the table
     * @param values values of the columns named by {@link Table#insertedColumns}
     * @param onConflict what to do when the key exists
     * @param returning what to return
     */
    record Insert(Table table, List<Operand> values, OnConflict onConflict, List<SelectItem> returning)
            implements Statement {
        @Override
        public List<Column> columns() {
            return returning.stream().map(SelectItem::column).toList();
        }
    }

    /**
     * Changes rows of {@link Table#KV}.
     *
     * @param value the new value
     * @param where conditions that all must hold
     * @param returning what to return
     */
    record Update(Operand value, List<Condition> where, List<SelectItem> returning) implements Statement {
        @Override
        public List<Column> columns() {
            return returning.stream().map(SelectItem::column).toList();
        }
    }

    /**
     * A control call.
     *
     * @param function name of the function
     * @param arguments its arguments
     */
    record Control(String function, List<Operand> arguments) implements Statement {

        private static final List<Column> STATUS = List.of(
                Column.text("accepted"),
                Column.text("endpoint"),
                Column.text("role"),
                Column.int8("accepted_term"),
                Column.int8("applied_term"),
                Column.int8("applied_offset"),
                Column.int8("term_start"),
                Column.int8("contact_age_ms"),
                Column.int8("data_age_ms"));

        @Override
        public List<Column> columns() {
            return STATUS;
        }
    }
}
