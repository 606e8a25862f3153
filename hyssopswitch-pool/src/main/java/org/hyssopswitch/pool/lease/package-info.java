/**
 * Lends connections to endpoints to other VMs, and borrows them, where VMs outnumber the connections of an endpoint.
 */
package org.hyssopswitch.pool.lease;
