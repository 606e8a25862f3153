/** Graceful shutdown of a VM of the core engine. */
package org.hyssopswitch.core.drain;
