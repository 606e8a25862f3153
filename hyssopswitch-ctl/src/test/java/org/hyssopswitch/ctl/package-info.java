/** Contract tests of the operators' command line. */
package org.hyssopswitch.ctl;
