/** The operators' command line. */
package org.hyssopswitch.ctl;
