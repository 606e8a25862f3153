/** A whole deployment in one process: stand-ins, VMs and faults, for the demo and for measurements. */
package org.hyssopswitch.app.fleet;
