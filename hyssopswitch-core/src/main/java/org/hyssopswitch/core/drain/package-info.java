/** Drain of endpoints and graceful shutdown of VMs. */
package org.hyssopswitch.core.drain;
