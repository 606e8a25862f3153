/**
 * Detects primaries that are unreachable or draining and has the platform promote a replica. Part of the engine for the
 * users' platform.
 */
package org.hyssopswitch.pool.failover;
