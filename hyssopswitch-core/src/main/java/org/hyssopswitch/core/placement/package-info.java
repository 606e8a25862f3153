/** Placement of endpoints on home VMs. */
package org.hyssopswitch.core.placement;
