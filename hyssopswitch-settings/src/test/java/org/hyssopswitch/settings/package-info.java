/** Tests of the settings of a VM. */
package org.hyssopswitch.settings;
