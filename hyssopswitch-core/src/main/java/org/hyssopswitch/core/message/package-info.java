/** The marker interface of the messages that VMs exchange, used by both engines. */
package org.hyssopswitch.core.message;
