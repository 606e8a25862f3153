package org.hyssopswitch.proxy.home;

import org.hyssopswitch.core.configuration.EndpointDeclaration;
import org.hyssopswitch.core.identity.DatabaseId;

/**
 * How to open a connection to an endpoint.
 *
 * @param database the database
 * @param endpoint the endpoint
 * @param user the credential
 * @param application name of this VM and its incarnation, reported to the endpoint
 */
record ConnectionSpec(DatabaseId database, EndpointDeclaration endpoint, EndpointUser user, String application) {}
