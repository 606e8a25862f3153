/** HTTP listeners that switch the faults of the stand-ins. */
package org.hyssopswitch.standin.control;
