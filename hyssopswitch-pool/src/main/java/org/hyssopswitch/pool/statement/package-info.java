/** Statements, replies and commands to endpoints, independent of any wire protocol. */
package org.hyssopswitch.pool.statement;
