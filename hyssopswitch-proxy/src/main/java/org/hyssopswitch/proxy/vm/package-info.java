/** The assembly of one VM: its decision thread and the performance of the core's actions. */
package org.hyssopswitch.proxy.vm;
