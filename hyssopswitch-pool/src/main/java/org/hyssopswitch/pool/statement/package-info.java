/**
 * Statements of callers, commands to endpoints and their replies, independent of any wire protocol.
 *
 * <p>Part of the engine behind the users' platform.
 */
package org.hyssopswitch.pool.statement;
