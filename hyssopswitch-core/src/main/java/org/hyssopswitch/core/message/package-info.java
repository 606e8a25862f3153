/** The marker of messages exchanged between VMs. */
package org.hyssopswitch.core.message;
