/**
 * Failure detection, promotion and commit confirmation of database groups. Belongs to the core engine, which serves the
 * PostgreSQL listener.
 */
package org.hyssopswitch.core.failover;
