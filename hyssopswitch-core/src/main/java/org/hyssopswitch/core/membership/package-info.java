/** Membership of a cell of VMs, by heartbeats and gossip. Belongs to the engine behind the PostgreSQL listener. */
package org.hyssopswitch.core.membership;
