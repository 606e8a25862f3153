/** MessagePack messages and authenticated links between VMs. */
package org.hyssopswitch.peer;
