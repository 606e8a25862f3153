/** The tick-driven engine that runs the decision systems of a VM. */
package org.hyssopswitch.core.engine;
