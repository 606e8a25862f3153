/** Rate and burst of client accounts, counted over all VMs together. */
package org.hyssopswitch.pool.quota;
