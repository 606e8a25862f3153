package org.hyssopswitch.proxy.home;

/**
 * The two users under which a home connects to endpoints.
 *
 * @param writer user that may read, write and make control calls
 * @param reader user that may only read
 */
public record EndpointUsers(EndpointUser writer, EndpointUser reader) {}
