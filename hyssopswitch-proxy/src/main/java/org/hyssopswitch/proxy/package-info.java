/** The VM's process: entry, home and operations listeners. */
package org.hyssopswitch.proxy;
