/** Assembles one VM that pools connections. */
package org.hyssopswitch.pool.vm;
