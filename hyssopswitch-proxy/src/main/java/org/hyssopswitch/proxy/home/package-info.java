/**
 * The homes of endpoints: connection pools, limits on concurrent statements, commit acknowledgements held until they
 * are confirmed, and control calls. Part of the engine behind the PostgreSQL listener.
 */
package org.hyssopswitch.proxy.home;
