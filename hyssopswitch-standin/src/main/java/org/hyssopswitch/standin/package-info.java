/** Stand-ins for database groups and the platform, with faults. */
package org.hyssopswitch.standin;
