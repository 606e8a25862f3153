package org.hyssopswitch.proxy.home;

import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.identity.DatabaseId;

/**
 * Parameters of a connection to an endpoint.
 *
 * @param database the database
 * @param endpoint the endpoint
 * @param user the user and password
 * @param application this VM's name and incarnation, sent as application_name
 */
record ConnectionSpec(DatabaseId database, EndpointDeclaration endpoint, EndpointUser user, String application) {}
