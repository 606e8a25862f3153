package org.hyssopswitch.standin.sql;

import java.util.List;

/** A value in a statement. */
public sealed interface Operand {

    /**
     * Gives the value as text.
     *
     * @param parameters values of the statement's parameters as text
     * @throws SqlException when the parameter was not bound
     */
    String value(List<String> parameters);

    /**
     * A value written in the statement.
     *
     * @param text the value as text
     * @param typeOid object identifier of its type
     */
    record Literal(String text, int typeOid) implements Operand {
        @Override
        public String value(List<String> parameters) {
            return text;
        }
    }

    /**
     * A parameter.
     *
     * @param number its number, counted from 1
     */
    record Parameter(int number) implements Operand {
        @Override
        public String value(List<String> parameters) {
            if (number < 1 || number > parameters.size()) {
                throw new SqlException(SqlError.PROTOCOL_VIOLATION, "parameter $" + number + " is not bound");
            }
            return parameters.get(number - 1);
        }
    }
}
