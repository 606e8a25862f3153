package org.hyssopswitch.proxy.home;

/**
 * A credential of the proxy at endpoints.
 *
 * @param name the user
 * @param password its password
 */
public record EndpointUser(String name, String password) {

    /** Names the user only. */
    @Override
    public String toString() {
        return name;
    }
}
