/**
 * The configuration in force and the endpoints that the platform lists.
 *
 * <p>Part of the engine behind the users' platform.
 */
package org.hyssopswitch.pool.catalog;
