/** Assembles a VM of the engine for the users' platform, which pools connections to endpoints. */
package org.hyssopswitch.pool.vm;
