/** PostgreSQL protocol version 3 frames. */
package org.hyssopswitch.wire;
