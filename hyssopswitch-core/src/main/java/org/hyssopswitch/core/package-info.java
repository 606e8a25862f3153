/** Decision logic of a VM: tables, systems and typed events, without I/O. */
package org.hyssopswitch.core;
