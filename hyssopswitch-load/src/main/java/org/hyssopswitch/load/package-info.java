/** Open-loop load, audit and reports. */
package org.hyssopswitch.load;
