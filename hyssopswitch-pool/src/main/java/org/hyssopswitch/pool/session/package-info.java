/**
 * Sessions of callers: their values, prepared statements and transactions, and how their statements are executed.
 *
 * <p>Belongs to the engine behind the users' platform.
 */
package org.hyssopswitch.pool.session;
