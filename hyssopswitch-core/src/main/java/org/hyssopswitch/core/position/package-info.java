/** Terms and positions in the log of a database group, used by both engines. */
package org.hyssopswitch.core.position;
