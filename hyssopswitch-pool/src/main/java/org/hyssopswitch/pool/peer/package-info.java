/** Messages between the VMs of a fleet and the links that carry them. */
package org.hyssopswitch.pool.peer;
