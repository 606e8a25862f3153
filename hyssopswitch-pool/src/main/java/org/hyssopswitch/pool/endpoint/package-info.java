/**
 * Connection pools for the endpoints of database groups, and the selection of the endpoint that runs a statement.
 *
 * <p>Part of the engine behind the users' platform.
 */
package org.hyssopswitch.pool.endpoint;
