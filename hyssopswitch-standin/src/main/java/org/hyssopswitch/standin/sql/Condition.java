package org.hyssopswitch.standin.sql;

/**
 * A comparison for equality in a WHERE clause.
 *
 * @param column column of the table
 * @param operand the value to compare with
 */
public record Condition(Column column, Operand operand) {}
