/** Detects primaries that are lost or about to leave, and has the platform promote another endpoint. */
package org.hyssopswitch.pool.failover;
