/**
 * Access to the platform's store: typed tables with conditional updates, and watches that recover from failures.
 *
 * <p>Belongs to the engine behind the users' platform.
 */
package org.hyssopswitch.pool.store;
