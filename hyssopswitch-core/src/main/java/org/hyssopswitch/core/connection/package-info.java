/** Which open connections of a client may be used again, and which replies on them answer which commands. */
package org.hyssopswitch.core.connection;
