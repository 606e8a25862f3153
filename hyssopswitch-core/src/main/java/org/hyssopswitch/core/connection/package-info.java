/** Which open connections of a client may be used again. */
package org.hyssopswitch.core.connection;
