package org.hyssopswitch.standin.sql;

/** One item of a SELECT or RETURNING list. */
public sealed interface SelectItem {

    /** The result column. */
    Column column();

    /**
     * A column of the table.
     *
     * @param source the column
     */
    record TableColumn(Column source) implements SelectItem {
        @Override
        public Column column() {
            return source;
        }
    }

    /**
     * A literal or parameter.
     *
     * @param operand the value
     */
    record Value(Operand operand) implements SelectItem {
        @Override
        public Column column() {
            return new Column("?column?", operand instanceof Operand.Literal l ? l.typeOid() : Column.TEXT_OID);
        }
    }

    /** The number of rows. */
    record Count() implements SelectItem {
        @Override
        public Column column() {
            return Column.int8("count");
        }
    }

    /** The role of the endpoint that answers, in lower case. */
    record Role() implements SelectItem {
        @Override
        public Column column() {
            return Column.text("hyssop_role");
        }
    }

    /** The name of the endpoint that answers. */
    record EndpointName() implements SelectItem {
        @Override
        public Column column() {
            return Column.text("hyssop_endpoint");
        }
    }

    /**
     * Waits before the row is returned.
     *
     * @param seconds seconds to wait
     */
    record Sleep(Operand seconds) implements SelectItem {
        @Override
        public Column column() {
            return Column.text("pg_sleep");
        }
    }
}
