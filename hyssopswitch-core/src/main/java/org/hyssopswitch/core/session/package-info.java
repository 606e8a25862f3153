/**
 * Session tokens and the selection of an endpoint for each statement. Belongs to the engine behind the PostgreSQL
 * listener.
 */
package org.hyssopswitch.core.session;
