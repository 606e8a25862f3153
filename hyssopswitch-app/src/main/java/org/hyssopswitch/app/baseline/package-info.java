/** Simple policies that the product's decisions are measured against; never wired into a VM's process. */
package org.hyssopswitch.app.baseline;
