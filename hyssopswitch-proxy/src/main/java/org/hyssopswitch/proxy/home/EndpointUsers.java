package org.hyssopswitch.proxy.home;

/**
 * The two users under which a home connects to endpoints.
 *
 * @param writer may read, write and make control calls
 * @param reader may only read
 */
public record EndpointUsers(EndpointUser writer, EndpointUser reader) {}
