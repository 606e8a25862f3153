/** Rate and burst shares of client accounts. */
package org.hyssopswitch.core.limit;
