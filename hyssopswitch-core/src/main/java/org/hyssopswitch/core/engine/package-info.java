/**
 * The tick-driven engine that runs the decision systems of a VM. Belongs to the engine behind the PostgreSQL listener.
 */
package org.hyssopswitch.core.engine;
