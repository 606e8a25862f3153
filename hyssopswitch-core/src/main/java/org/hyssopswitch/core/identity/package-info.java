/** Identifiers of VMs, data centres, client accounts, databases and endpoints; used by both engines. */
package org.hyssopswitch.core.identity;
