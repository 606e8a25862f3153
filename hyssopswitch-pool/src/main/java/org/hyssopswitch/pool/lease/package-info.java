/**
 * Lends connections to other VMs and borrows theirs, where VMs outnumber the connections that an endpoint accepts. Part
 * of the engine for the users' platform.
 */
package org.hyssopswitch.pool.lease;
