/** Tests of the messages and links between VMs. */
package org.hyssopswitch.peer;
