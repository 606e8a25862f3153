package org.hyssopswitch.pool.statement;

/**
 * The text and kind of a prepared statement; equal shapes share one prepared statement per connection.
 *
 * @param write whether it writes
 * @param shape text of the statement
 */
public record PreparedShape(boolean write, String shape) {}
