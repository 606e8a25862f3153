/** Fair queueing of the statements that wait for an endpoint at its home VM, in the core engine. */
package org.hyssopswitch.core.fairness;
