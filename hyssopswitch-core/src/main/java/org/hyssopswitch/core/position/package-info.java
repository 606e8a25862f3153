/** Terms and positions in a database group's log. */
package org.hyssopswitch.core.position;
