package org.hyssopswitch.pool.statement;

/**
 * What a prepared statement does; equal shapes share one prepared statement of a connection.
 *
 * @param write whether it writes
 * @param shape its text
 */
public record PreparedShape(boolean write, String shape) {}
