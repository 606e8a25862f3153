/** Messages between the VMs of a fleet and the links that carry them. Part of the engine for the users' platform. */
package org.hyssopswitch.pool.peer;
