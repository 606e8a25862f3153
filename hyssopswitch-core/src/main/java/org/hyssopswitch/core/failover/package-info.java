/** Failure detection and promotion of database groups. */
package org.hyssopswitch.core.failover;
