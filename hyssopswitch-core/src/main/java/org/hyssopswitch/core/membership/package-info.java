/** Membership of a cell of VMs. */
package org.hyssopswitch.core.membership;
