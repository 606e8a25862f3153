/**
 * Rate limits of client accounts, enforced across all VMs of the fleet.
 *
 * <p>Belongs to the engine behind the users' platform.
 */
package org.hyssopswitch.pool.quota;
