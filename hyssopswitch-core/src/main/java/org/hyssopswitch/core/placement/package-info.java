/**
 * Placement of endpoints on home VMs, the VMs that own the connections to an endpoint, in the core engine. Both engines
 * use its rendezvous hashing.
 */
package org.hyssopswitch.core.placement;
