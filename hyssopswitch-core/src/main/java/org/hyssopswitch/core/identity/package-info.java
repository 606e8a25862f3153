/** Identifiers of VMs, data centres, client accounts, databases and endpoints. */
package org.hyssopswitch.core.identity;
