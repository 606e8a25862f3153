/** Stand-in of the platform: an object API over HTTP with versions, watches, a list of VMs and faults. */
package org.hyssopswitch.standin.platform;
