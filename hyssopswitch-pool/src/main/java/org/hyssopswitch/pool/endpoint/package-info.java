/** Connections to the endpoints of database groups, and the choice of the endpoint that runs a statement. */
package org.hyssopswitch.pool.endpoint;
